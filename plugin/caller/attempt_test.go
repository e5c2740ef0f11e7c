package caller

import (
	"testing"

	"github.com/dogwoodhatch/dogwoodhatch/call"
	"github.com/dogwoodhatch/dogwoodhatch/kernel"
)

// TestBetterOfTwoAttempts checks which answer of two parallel attempts is returned.
// When one is refused, the result must not hide that the other may have run.
func TestBetterOfTwoAttempts(t *testing.T) {
	answer := func(o call.Outcome, status int) *kernel.Answer {
		return &kernel.Answer{Result: call.Result{Outcome: o, Status: status}}
	}
	for _, c := range []struct {
		name                string
		first, second, want *kernel.Answer
	}{
		{"no second attempt", answer(call.Unknown, 0), nil, answer(call.Unknown, 0)},
		{"first answered", answer(call.Answered, 500), answer(call.Unknown, 0), answer(call.Answered, 500)},
		{"second answered", answer(call.Unknown, 0), answer(call.Answered, 200), answer(call.Answered, 200)},
		{"both answered", answer(call.Answered, 500), answer(call.Answered, 200), answer(call.Answered, 200)},
		{"first may have run, second refused", answer(call.Unknown, 0), answer(call.Refused, 0), answer(call.Unknown, 0)},
		{"first refused, second may have run", answer(call.Refused, 0), answer(call.Unknown, 0), answer(call.Unknown, 0)},
	} {
		r := &request{Request: &kernel.Request{}}
		if got := r.betterAnswer(c.first, c.second); got.Outcome != c.want.Outcome || got.Status != c.want.Status {
			t.Errorf("%s: %+v", c.name, got.Result)
		}
	}
}
