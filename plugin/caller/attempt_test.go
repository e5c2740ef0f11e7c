package caller

import (
	"testing"

	"github.com/dogwoodhatch/dogwoodhatch/call"
	"github.com/dogwoodhatch/dogwoodhatch/kernel"
)

// TestBetterOfTwoAttempts pairs the endings of two attempts that ran side by side. A
// refusal of one must not hide that the other may have run.
func TestBetterOfTwoAttempts(t *testing.T) {
	ending := func(o call.Outcome, status int) *kernel.Answer {
		return &kernel.Answer{Result: call.Result{Outcome: o, Status: status}}
	}
	for _, c := range []struct {
		name                string
		first, second, want *kernel.Answer
	}{
		{"no second attempt", ending(call.Unknown, 0), nil, ending(call.Unknown, 0)},
		{"first answered", ending(call.Answered, 500), ending(call.Unknown, 0), ending(call.Answered, 500)},
		{"second answered", ending(call.Unknown, 0), ending(call.Answered, 200), ending(call.Answered, 200)},
		{"both answered", ending(call.Answered, 500), ending(call.Answered, 200), ending(call.Answered, 200)},
		{"first may have run, second refused", ending(call.Unknown, 0), ending(call.Refused, 0), ending(call.Unknown, 0)},
		{"first refused, second may have run", ending(call.Refused, 0), ending(call.Unknown, 0), ending(call.Unknown, 0)},
	} {
		r := &request{Request: &kernel.Request{}}
		if got := r.better(c.first, c.second); got.Outcome != c.want.Outcome || got.Status != c.want.Status {
			t.Errorf("%s: %+v", c.name, got.Result)
		}
	}
}
