package adminapi

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/google/uuid"
	"go.uber.org/zap"

	"github.com/dogwoodhatch/dogwoodhatch/errs"
	"github.com/dogwoodhatch/dogwoodhatch/profile"
	"github.com/dogwoodhatch/dogwoodhatch/publish"
)

// HeaderChangeID is the request header with the ID of a change, a UUID. A client
// that chooses the ID can resolve the change if the answer is lost.
const HeaderChangeID = "Change-Id"

// QueryDeleted is the query parameter that, if "true", also returns a deleted
// record.
const QueryDeleted = "deleted"

// ServiceBinding is the body of a request to bind a service.
type ServiceBinding struct {
	Profile string `json:"profile"`
}

func (a *api) list(kind profile.Kind) handler {
	return func(w http.ResponseWriter, r *http.Request, _ string) error {
		records, err := a.Publisher.List(r.Context(), kind)
		if err != nil {
			return err
		}
		if records == nil {
			records = []publish.Versioned{}
		}
		return writeJSON(w, http.StatusOK, records)
	}
}

func (a *api) get(kind profile.Kind) handler {
	return func(w http.ResponseWriter, r *http.Request, _ string) error {
		name := r.PathValue("name")
		v, err := a.Publisher.Get(r.Context(), kind, name)
		if err != nil {
			return err
		}
		tag := entityTag(v.Revision)
		w.Header().Set("ETag", tag)
		if v.Record.Deleted && r.URL.Query().Get(QueryDeleted) != "true" {
			return errs.New(errs.NotFound, "check the name", "%s does not exist", kind.Key(name))
		}
		if r.Header.Get("If-None-Match") == tag {
			w.WriteHeader(http.StatusNotModified)
			return nil
		}
		return writeJSON(w, http.StatusOK, v)
	}
}

func entityTag(revision uint64) string { return strconv.Quote(strconv.FormatUint(revision, 10)) }

func (a *api) putProfile(w http.ResponseWriter, r *http.Request, author string) error {
	text, err := io.ReadAll(r.Body)
	if err != nil {
		return errs.Wrap(err, errs.Invalid, "send the whole text", "read the profile")
	}
	return a.change(w, r, author, "put_profile", func(ctx context.Context, req publish.Request) (publish.Outcome, error) {
		return a.Publisher.PutProfile(ctx, req, text)
	})
}

func (a *api) undoProfile(w http.ResponseWriter, r *http.Request, author string) error {
	return a.change(w, r, author, "undo_profile", a.Publisher.UndoProfile)
}

func (a *api) deleteProfile(w http.ResponseWriter, r *http.Request, author string) error {
	return a.change(w, r, author, "delete_profile", a.Publisher.DeleteProfile)
}

// allTeams sets the name of the only record of teams, which the path does not hold.
func allTeams(h handler) handler {
	return func(w http.ResponseWriter, r *http.Request, author string) error {
		r.SetPathValue("name", profile.TeamsName)
		return h(w, r, author)
	}
}

func (a *api) putTeams(w http.ResponseWriter, r *http.Request, author string) error {
	text, err := io.ReadAll(r.Body)
	if err != nil {
		return errs.Wrap(err, errs.Invalid, "send the whole text", "read the teams")
	}
	return a.change(w, r, author, "put_teams", func(ctx context.Context, req publish.Request) (publish.Outcome, error) {
		return a.Publisher.PutTeams(ctx, req, text)
	})
}

func (a *api) deleteTeams(w http.ResponseWriter, r *http.Request, author string) error {
	return a.change(w, r, author, "delete_teams", a.Publisher.DeleteTeams)
}

func (a *api) bindService(w http.ResponseWriter, r *http.Request, author string) error {
	var binding ServiceBinding
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&binding); err != nil {
		return errs.Wrap(err, errs.Invalid, `send {"profile": "NAME"}`, "read the binding")
	}
	return a.change(w, r, author, "bind_service", func(ctx context.Context, req publish.Request) (publish.Outcome, error) {
		return a.Publisher.BindService(ctx, req, binding.Profile)
	})
}

// change applies one change, logs it and writes its outcome as the response. The
// change continues if the client disconnects, so that its outcome is always logged.
func (a *api) change(w http.ResponseWriter, r *http.Request, author, action string, apply func(context.Context, publish.Request) (publish.Outcome, error)) error {
	req, p := parseChangeRequest(r, author)
	if p != nil {
		writeProblem(w, *p)
		return nil
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.Context()), a.ChangeTimeout)
	defer cancel()
	out, err := apply(ctx, req)
	a.logChange(action, req, out, err)
	if err != nil {
		return err
	}
	if out.Verdict != publish.Accepted {
		writeProblem(w, problemOfOutcome(out))
		return nil
	}
	w.Header().Set("ETag", entityTag(out.Revision))
	return writeJSON(w, http.StatusOK, out)
}

func (a *api) logChange(action string, req publish.Request, out publish.Outcome, err error) {
	verdict := string(out.Verdict)
	if err != nil {
		verdict = errs.KindOf(err).String()
	}
	a.Log.Info("change",
		zap.String("action", action), zap.String("author", req.Author), zap.String("name", req.Name),
		zap.Stringer("change", req.ID), zap.Uint64("base", req.Base), zap.Bool("create", req.Create),
		zap.String("verdict", verdict), zap.Uint64("revision", out.Revision), zap.Error(err))
}

// parseChangeRequest reads the name, the change ID and the precondition of a change.
// A request without a precondition is rejected, because it could overwrite a change
// that its author has not seen.
func parseChangeRequest(r *http.Request, author string) (publish.Request, *Problem) {
	req := publish.Request{ID: uuid.New(), Author: author, Name: r.PathValue("name")}
	if text := r.Header.Get(HeaderChangeID); text != "" {
		id, err := uuid.Parse(text)
		if err != nil {
			return req, &Problem{Status: http.StatusBadRequest, Title: "malformed " + HeaderChangeID, Remedy: "send a UUID"}
		}
		req.ID = id
	}
	match := r.Header.Get("If-Match")
	switch {
	case match != "":
		base, err := strconv.ParseUint(strings.Trim(match, `"`), 10, 64)
		if err != nil || base == 0 {
			return req, &Problem{Status: http.StatusBadRequest, Title: "malformed If-Match", Remedy: "send the ETag that you have read"}
		}
		req.Base = base
	case r.Header.Get("If-None-Match") == "*":
		req.Create = true
	default:
		return req, &Problem{Status: http.StatusPreconditionRequired, Title: "no precondition",
			Remedy: "send If-Match with the ETag that you have read, or If-None-Match: * to create"}
	}
	return req, nil
}

func (a *api) resolve(settle bool) handler {
	return func(w http.ResponseWriter, r *http.Request, author string) error {
		ref, err := publish.ParseChangeRef(r.PathValue("ref"))
		if err != nil {
			return err
		}
		out, err := a.Publisher.Resolve(r.Context(), ref, author, settle)
		if settle {
			a.Log.Info("change_settled", zap.String("author", author), zap.Stringer("change", ref), zap.String("verdict", string(out.Verdict)), zap.Error(err))
		}
		if err != nil {
			return err
		}
		return writeJSON(w, http.StatusOK, out)
	}
}
