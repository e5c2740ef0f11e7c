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

// cancelBody ends the context of an answer when its body is closed.
type cancelBody struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close implements io.Closer.
func (b *cancelBody) Close() error {
	defer b.cancel()
	return b.ReadCloser.Close()
}

// hold reads up to limit bytes of the body. A whole answer comes back with its
// length; one that broke off is an unknown outcome; a longer one is passed on
// as a stream.
func hold(ctx context.Context, ans *kernel.Answer, limit int) *kernel.Answer {
	var buf bytes.Buffer
	n, err := bufpool.Copy(&buf, io.LimitReader(ans.Body, int64(limit)+1))
	if err != nil {
		ans.Body.Close()
		return &kernel.Answer{Result: call.Result{Outcome: call.Unknown, Reason: brokenReason(ctx), Pressure: ans.Pressure}, Trailer: ans.Trailer}
	}
	if n <= int64(limit) {
		ans.Body.Close()
		ans.Length = n
		ans.Body = io.NopCloser(&buf)
		return ans
	}
	ans.Length = -1
	ans.Body = &joinedBody{Reader: io.MultiReader(&buf, ans.Body), rest: ans.Body}
	return ans
}

func brokenReason(ctx context.Context) call.Reason {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return call.ReasonDeadline
	case ctx.Err() != nil:
		return call.ReasonCanceled
	}
	return call.ReasonTruncated
}

// joinedBody reads what was held and then the rest of the stream.
type joinedBody struct {
	io.Reader
	rest io.Closer
}

// Close implements io.Closer.
func (b *joinedBody) Close() error { return b.rest.Close() }
