package load

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/dogwoodhatch/dogwoodhatch/errs"
	"github.com/dogwoodhatch/dogwoodhatch/standin/backend"
)

const auditTimeout = 10 * time.Second

// Audit is what the backend servers' executions show.
type Audit struct {
	Executions   int
	Unfinished   int // executions that ended without a whole answer
	Twice        int // submissions not idempotent that ran more than once
	FalseRefused int // attempts refused as not run that ran
	ForeignCalls int // broken or foreign answers to calls between services
}

// audit compares the executions of all backend servers with what the clients
// were told.
func audit(submissions []*submission, reports []backend.Executions) Audit {
	var out Audit
	byID, byKey := make(map[string]int), make(map[string]int)
	ran := make(map[string]bool) // including as the cause of a deeper call
	for _, report := range reports {
		out.ForeignCalls += report.ForeignCalls
		for _, e := range report.List {
			out.Executions++
			if !e.Finished {
				out.Unfinished++
			}
			entry, _, _ := strings.Cut(e.ID, ">")
			ran[entry] = true
			if e.Key != "" {
				byKey[e.Key]++
			} else {
				byID[e.ID]++
			}
		}
	}
	for _, s := range submissions {
		if !s.class.Idempotent && s.runs(byID, byKey) > 1 {
			out.Twice++
		}
		for _, a := range s.attempts {
			if a.verdict == Refused && ran[a.id] {
				out.FalseRefused++
			}
		}
	}
	return out
}

// runs returns how often the submission was executed at its first service. An
// execution counts by its key, or by its id if the key was lost on the way.
func (s *submission) runs(byID, byKey map[string]int) int {
	n := byKey[s.key]
	for _, a := range s.attempts {
		n += byID[a.id]
	}
	return n
}

// readExecutions asks all backend servers what they executed. It returns an
// error of kind errs.Unavailable if one does not answer.
func readExecutions(ctx context.Context, backends []string) ([]backend.Executions, error) {
	ctx, cancel := context.WithTimeout(ctx, auditTimeout)
	defer cancel()
	var reports []backend.Executions
	for _, url := range backends {
		report, err := readReport(ctx, url)
		if err != nil {
			return nil, errs.Wrap(err, errs.Unavailable, "keep the backend servers running until the load tool has ended",
				"the executions of %s cannot be read", url)
		}
		reports = append(reports, report)
	}
	return reports, nil
}

func readReport(ctx context.Context, url string) (backend.Executions, error) {
	var report backend.Executions
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url+"/executions", nil)
	if err != nil {
		return report, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return report, err
	}
	defer resp.Body.Close()
	err = json.NewDecoder(resp.Body).Decode(&report)
	return report, err
}
