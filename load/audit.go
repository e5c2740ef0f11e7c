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

// Audit is the result of comparing the executions of the backend servers with
// the answers to the clients.
type Audit struct {
	Executions   int
	Unfinished   int // executions without a complete answer
	Twice        int // non-idempotent submissions that ran more than once
	FalseRefused int // attempts that ran although they were refused
	ForeignCalls int // corrupt or foreign answers to calls between services
}

// compareExecutions compares the executions of all backend servers with the
// verdicts of the clients.
func compareExecutions(submissions []*submission, reports []backend.Executions) Audit {
	var result Audit
	runsByID, runsByKey := make(map[string]int), make(map[string]int)
	ran := make(map[string]bool) // IDs of attempts that ran or whose sub-calls ran
	for _, report := range reports {
		result.ForeignCalls += report.ForeignCalls
		for _, e := range report.List {
			result.Executions++
			if !e.Finished {
				result.Unfinished++
			}
			rootID, _, _ := strings.Cut(e.ID, ">")
			ran[rootID] = true
			if e.Key != "" {
				runsByKey[e.Key]++
			} else {
				runsByID[e.ID]++
			}
		}
	}
	for _, s := range submissions {
		if !s.class.Idempotent && s.runs(runsByID, runsByKey) > 1 {
			result.Twice++
		}
		for _, a := range s.attempts {
			if a.verdict == Refused && ran[a.id] {
				result.FalseRefused++
			}
		}
	}
	return result
}

// runs returns how often the submission was executed at the service that it was
// sent to. Executions are matched by their key, or by their ID if the key was
// lost on the way.
func (s *submission) runs(runsByID, runsByKey map[string]int) int {
	n := runsByKey[s.key]
	for _, a := range s.attempts {
		n += runsByID[a.id]
	}
	return n
}

// readExecutions reads the executions of all backend servers. It returns an
// error of kind errs.Unavailable if one of them cannot be read.
func readExecutions(ctx context.Context, backends []string) ([]backend.Executions, error) {
	ctx, cancel := context.WithTimeout(ctx, auditTimeout)
	defer cancel()
	var reports []backend.Executions
	for _, url := range backends {
		report, err := readServerExecutions(ctx, url)
		if err != nil {
			return nil, errs.Wrap(err, errs.Unavailable, "keep the backend servers running until the load tool has ended",
				"cannot read the executions of %s", url)
		}
		reports = append(reports, report)
	}
	return reports, nil
}

func readServerExecutions(ctx context.Context, url string) (backend.Executions, error) {
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
