package edge

import (
	"bytes"
	"io"
	"net/http"
)

// bufferedBody is a request body that Server has read into memory.
type bufferedBody struct {
	bytes.Reader
	data []byte
}

func newBufferedBody(data []byte) *bufferedBody {
	b := &bufferedBody{data: data}
	b.Reset(data)
	return b
}

// Close implements io.Closer.
func (*bufferedBody) Close() error { return nil }

// Body returns the body of a request. A body that Server has already read is not
// copied, so the result must not be modified.
func Body(r *http.Request) ([]byte, error) {
	if b, ok := r.Body.(*bufferedBody); ok {
		return b.data, nil
	}
	return io.ReadAll(r.Body)
}

// readBody reads at most limit bytes. For a request without a body, the common case,
// it allocates nothing.
func readBody(body io.Reader, limit int64) ([]byte, error) {
	if body == http.NoBody {
		return nil, nil
	}
	return io.ReadAll(io.LimitReader(body, limit))
}
