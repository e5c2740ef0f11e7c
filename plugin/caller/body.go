package caller

import (
	"bytes"
	"context"
	"errors"
	"io"

	"github.com/dogwoodhatch/dogwoodhatch/bufpool"
	"github.com/dogwoodhatch/dogwoodhatch/call"
	"github.com/dogwoodhatch/dogwoodhatch/kernel"
)

// cancelBody cancels the context of an answer when its body is closed.
type cancelBody struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close implements io.Closer.
func (b *cancelBody) Close() error {
	defer b.cancel()
	return b.ReadCloser.Close()
}

// bufferAnswer reads up to limit bytes of the body into memory. A body within the
// limit is returned with its length; a longer one is streamed after the buffered
// part. If reading fails, the outcome is unknown.
func bufferAnswer(ctx context.Context, ans *kernel.Answer, limit int) *kernel.Answer {
	var buf bytes.Buffer
	n, err := bufpool.Copy(&buf, io.LimitReader(ans.Body, int64(limit)+1))
	if err != nil {
		ans.Body.Close()
		return &kernel.Answer{Result: call.Result{Outcome: call.Unknown, Reason: readErrorReason(ctx), Pressure: ans.Pressure}, Trailer: ans.Trailer}
	}
	if n <= int64(limit) {
		ans.Body.Close()
		ans.Length = n
		ans.Body = io.NopCloser(&buf)
		return ans
	}
	ans.Length = -1
	ans.Body = &prefixedBody{Reader: io.MultiReader(&buf, ans.Body), remainder: ans.Body}
	return ans
}

// readErrorReason returns why an answer ended early: the deadline, a cancellation or
// a truncated body.
func readErrorReason(ctx context.Context) call.Reason {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return call.ReasonDeadline
	case ctx.Err() != nil:
		return call.ReasonCanceled
	}
	return call.ReasonTruncated
}

// prefixedBody reads the buffered part and then the remainder of the stream.
type prefixedBody struct {
	io.Reader
	remainder io.Closer
}

// Close implements io.Closer.
func (b *prefixedBody) Close() error { return b.remainder.Close() }
