package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/dogwoodhatch/dogwoodhatch/adminapi"
	"github.com/dogwoodhatch/dogwoodhatch/profile"
	"github.com/dogwoodhatch/dogwoodhatch/publish"
)

// callTimeout leaves a node the time to make a change.
const callTimeout = adminapi.DefaultChangeTimeout + 5*time.Second

// answer is a whole answer of a node.
type answer struct {
	status int
	tag    string // ETag, "" if there is none
	body   []byte
}

// call makes one call of the administration interface.
func (env *environment) call(method, path string, body []byte, header http.Header) (answer, error) {
	if env.TokenFile == "" {
		return answer{}, usageError("no token; give --token-file")
	}
	token, err := os.ReadFile(env.TokenFile)
	if err != nil {
		return answer{}, err
	}
	req, err := http.NewRequest(method, strings.TrimSuffix(env.Node, "/")+path, bytes.NewReader(body))
	if err != nil {
		return answer{}, usageError("%v", err)
	}
	if header != nil {
		req.Header = header
	}
	req.Header.Set("Authorization", "Bearer "+strings.TrimSpace(string(token)))
	client := &http.Client{Timeout: callTimeout}
	resp, err := client.Do(req)
	if err != nil {
		return answer{}, err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return answer{}, err
	}
	return answer{resp.StatusCode, resp.Header.Get("ETag"), text}, nil
}

// read makes a call that changes nothing and decodes its answer. With raw, it
// prints the answer as it is and returns false.
func (env *environment) read(method, path string, raw bool, out any) (bool, error) {
	a, err := env.call(method, path, nil, nil)
	if err != nil {
		return false, err
	}
	if a.status >= http.StatusBadRequest {
		return false, problemError(a)
	}
	if raw {
		_, err = env.out.Write(a.body)
		return false, err
	}
	if err := json.Unmarshal(a.body, out); err != nil {
		return false, fmt.Errorf("the node's answer is malformed: %w; check --node", err)
	}
	return true, nil
}

// change makes a change and prints its outcome. A base of 0 expects no record.
func (env *environment) change(method, path, key string, base uint64, body []byte) error {
	ref := publish.ChangeRef{ID: uuid.New(), Key: key, Base: base}
	header := http.Header{adminapi.HeaderChangeID: {ref.ID.String()}}
	if base > 0 {
		header.Set("If-Match", fmt.Sprintf("%q", fmt.Sprint(base)))
	} else {
		header.Set("If-None-Match", "*")
	}
	a, err := env.call(method, path, body, header)
	if err != nil {
		return env.lost(ref, err)
	}
	var out publish.Outcome
	switch {
	case a.status == http.StatusOK && json.Unmarshal(a.body, &out) == nil:
		return env.accepted(out)
	case a.status == http.StatusOK, unproved(a):
		return notKnown(ref, fmt.Sprintf("the node answered %d", a.status))
	}
	return problemError(a)
}

// unproved says whether an answer to a change leaves open if it was made.
func unproved(a answer) bool {
	var p adminapi.Problem
	_ = json.Unmarshal(a.body, &p)
	told := p.Outcome != nil || p.Status == http.StatusServiceUnavailable
	return a.status >= http.StatusInternalServerError && !told
}

// lost reads back a change whose answer did not arrive.
func (env *environment) lost(ref publish.ChangeRef, cause error) error {
	var op *net.OpError
	var exit *exitError
	if errors.As(cause, &exit) || errors.Is(cause, os.ErrNotExist) || (errors.As(cause, &op) && op.Op == "dial") {
		return cause // nothing was sent
	}
	var out publish.Outcome
	if _, err := env.read(http.MethodGet, changePath(ref), false, &out); err != nil || out.Verdict != publish.Accepted {
		return notKnown(ref, cause.Error())
	}
	return env.accepted(out)
}

func changePath(ref publish.ChangeRef) string { return "/v1/changes/" + ref.String() }

func (env *environment) accepted(out publish.Outcome) error {
	_, err := fmt.Fprintf(env.out, "accepted: %s is at revision %d\n", out.Change.Key, out.Revision)
	return err
}

func notKnown(ref publish.ChangeRef, why string) error {
	return &exitError{exitNotKnown, fmt.Sprintf("not known yet: %s\nrun: dogwoodhatch change resolve %s", why, ref)}
}

// problemError returns the error of an answer that is a problem.
func problemError(a answer) error {
	var p adminapi.Problem
	if err := json.Unmarshal(a.body, &p); err != nil || p.Title == "" {
		return fmt.Errorf("the node answered %d: %s", a.status, strings.TrimSpace(string(a.body)))
	}
	switch {
	case p.Outcome != nil && p.Outcome.Verdict == publish.Conflict:
		return conflictError(*p.Outcome)
	case p.Outcome != nil:
		return notKnown(p.Outcome.Change, p.Detail)
	case p.Status == http.StatusConflict:
		return &exitError{exitConflict, "conflict: " + p.Detail}
	case len(p.Faults) > 0:
		return &exitError{exitFault, p.Faults.Error()}
	}
	text := p.Title
	if p.Detail != "" {
		text += ": " + p.Detail // ends with the remedy
	} else if p.Remedy != "" {
		text += "; " + p.Remedy
	}
	return &exitError{exitFault, text}
}

// conflictError tells what is in force instead of the operator's change.
func conflictError(out publish.Outcome) error {
	text := "conflict: " + out.Detail
	if r := out.Current; r != nil {
		text = fmt.Sprintf("conflict: %s is at revision %d, changed by %s at %s",
			out.Change.Key, out.Revision, r.Change.Author, r.Change.Time.Format(time.RFC3339))
		text += "\nin force:\n" + strings.TrimSuffix(inForce(r), "\n")
	}
	return &exitError{exitConflict, text}
}

// inForce returns what a record says, as an operator reads it.
func inForce(r *profile.Record) string {
	switch {
	case r.Deleted:
		return "nothing"
	case r.Kind == profile.KindService:
		return fmt.Sprintf("profile %s from revision %d", r.Profile, r.Needs)
	}
	return r.Body
}
