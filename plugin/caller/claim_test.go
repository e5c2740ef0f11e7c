package caller

import (
	"context"
	"io"
	"net"
	"os"
	"syscall"
	"testing"

	"github.com/dogwoodhatch/dogwoodhatch/call"
	"github.com/dogwoodhatch/dogwoodhatch/errs"
	"github.com/dogwoodhatch/dogwoodhatch/kernel"
	"github.com/dogwoodhatch/dogwoodhatch/wire"
)

// holders answers claims with errors in turn, then with a grant.
type holders struct {
	kernel.Transport
	errors []error
	asked  int
}

func (h *holders) Claim(context.Context, string, *wire.Claim) (*wire.ClaimReply, error) {
	h.asked++
	if h.asked <= len(h.errors) {
		return nil, h.errors[h.asked-1]
	}
	return &wire.ClaimReply{Granted: true, Proved: true}, nil
}

// TestHolderThatDiedWithTheClaimOnItsWay asks a holder over a connection that
// breaks; only a new one shows whether the holder has ended.
func TestHolderThatDiedWithTheClaimOnItsWay(t *testing.T) {
	broken := errs.Wrap(io.ErrUnexpectedEOF, errs.Unknown, "", "reply was lost")
	refused := errs.Wrap(&net.OpError{Op: "dial", Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}, errs.Unavailable, "", "no connection")
	silent := errs.Wrap(context.DeadlineExceeded, errs.Unavailable, "", "no connection in time")
	for name, c := range map[string]struct {
		errors  []error
		granted bool
		proved  bool
	}{
		"answers":                 {nil, true, true},
		"breaks, then answers":    {[]error{broken}, true, true},
		"breaks, has ended":       {[]error{broken, refused}, true, false},
		"has ended":               {[]error{refused}, true, false},
		"breaks twice":            {[]error{broken, broken}, false, false},
		"may be beyond a cut":     {[]error{silent}, false, false},
		"breaks, is beyond a cut": {[]error{broken, silent}, false, false},
	} {
		reply := askHolder(context.Background(), &holders{errors: c.errors}, "", &wire.Claim{})
		if reply.GetGranted() != c.granted || reply.GetProved() != c.proved {
			t.Errorf("%s: %v", name, reply)
		}
		if !c.granted && reply.GetReason() != string(call.ReasonKeyUnproved) {
			t.Errorf("%s: reason %q", name, reply.GetReason())
		}
	}
}
