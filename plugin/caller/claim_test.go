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

// fakeHolder fails the first claims with the given errors, then grants.
type fakeHolder struct {
	kernel.Transport
	errors []error
	calls  int
}

func (h *fakeHolder) Claim(context.Context, string, *wire.Claim) (*wire.ClaimReply, error) {
	h.calls++
	if h.calls <= len(h.errors) {
		return nil, h.errors[h.calls-1]
	}
	return &wire.ClaimReply{Granted: true, Proved: true}, nil
}

// TestClaimIsRepeatedAfterLostReply breaks the connection to a holder while a claim
// is in flight. Only a new connection shows whether the holder process has ended.
func TestClaimIsRepeatedAfterLostReply(t *testing.T) {
	replyLost := errs.Wrap(io.ErrUnexpectedEOF, errs.Unknown, "", "reply was lost")
	connRefused := errs.Wrap(&net.OpError{Op: "dial", Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}, errs.Unavailable, "", "no connection")
	dialTimeout := errs.Wrap(context.DeadlineExceeded, errs.Unavailable, "", "no connection in time")
	for name, c := range map[string]struct {
		errors  []error
		granted bool
		proved  bool
	}{
		"grants":                        {nil, true, true},
		"reply lost, then granted":      {[]error{replyLost}, true, true},
		"reply lost, then holder ended": {[]error{replyLost, connRefused}, true, false},
		"holder ended":                  {[]error{connRefused}, true, false},
		"reply lost twice":              {[]error{replyLost, replyLost}, false, false},
		"cut off from the holder":       {[]error{dialTimeout}, false, false},
		"reply lost, then cut off":      {[]error{replyLost, dialTimeout}, false, false},
	} {
		reply := claimAtHolder(context.Background(), &fakeHolder{errors: c.errors}, "", &wire.Claim{})
		if reply.GetGranted() != c.granted || reply.GetProved() != c.proved {
			t.Errorf("%s: %v", name, reply)
		}
		if !c.granted && reply.GetReason() != string(call.ReasonKeyUnproved) {
			t.Errorf("%s: reason %q", name, reply.GetReason())
		}
	}
}
