package adminapi

import (
	"encoding/json"
	"net/http"

	"github.com/dogwoodhatch/dogwoodhatch/errs"
	"github.com/dogwoodhatch/dogwoodhatch/profile"
	"github.com/dogwoodhatch/dogwoodhatch/publish"
)

// Problem is the body of an error response (RFC 9457, problem details), extended by
// a remedy, the faults of a profile and the outcome of a change.
type Problem struct {
	Status  int              `json:"status"`
	Title   string           `json:"title"`
	Detail  string           `json:"detail,omitempty"`
	Remedy  string           `json:"remedy,omitempty"`
	Faults  profile.Faults   `json:"faults,omitempty"`
	Outcome *publish.Outcome `json:"outcome,omitempty"`
}

// retryAfterSeconds is the Retry-After header sent while the store is unavailable.
const retryAfterSeconds = "5"

var statusOf = map[errs.Kind]int{
	errs.Invalid:     http.StatusUnprocessableEntity,
	errs.Conflict:    http.StatusConflict,
	errs.NotFound:    http.StatusNotFound,
	errs.Unavailable: http.StatusServiceUnavailable,
	errs.Unknown:     http.StatusGatewayTimeout,
	errs.Denied:      http.StatusForbidden,
}

// problemOf converts an error to a problem.
func problemOf(err error) Problem {
	kind := errs.KindOf(err)
	status, ok := statusOf[kind]
	if !ok {
		status = http.StatusInternalServerError
	}
	return Problem{Status: status, Title: kind.String(), Detail: err.Error(), Remedy: errs.RemedyOf(err), Faults: profile.FaultsOf(err)}
}

// problemOfOutcome converts the outcome of a change that was not accepted to a
// problem.
func problemOfOutcome(out publish.Outcome) Problem {
	p := Problem{Title: string(out.Verdict), Detail: out.Detail, Outcome: &out}
	switch out.Verdict {
	case publish.Conflict:
		p.Status = http.StatusPreconditionFailed
		p.Remedy = "read what is in force and repeat the change on top of it"
	default:
		p.Status = http.StatusGatewayTimeout
		p.Remedy = "resolve change " + out.Change.String() + " before you repeat it"
	}
	return p
}

func writeProblem(w http.ResponseWriter, p Problem) {
	w.Header().Set("Content-Type", "application/problem+json")
	if p.Status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", retryAfterSeconds)
	}
	w.WriteHeader(p.Status)
	_ = json.NewEncoder(w).Encode(p)
}

func writeJSON(w http.ResponseWriter, status int, body any) error {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
	return nil
}
