package edge

import (
	"bytes"
	"io"
	"net/http"
)

// wholeBody is the body of a request that the server has read.
type wholeBody struct {
	bytes.Reader
	data []byte
}

func newWholeBody(data []byte) *wholeBody {
	b := &wholeBody{data: data}
	b.Reset(data)
	return b
}

// Close implements io.Closer.
func (*wholeBody) Close() error { return nil }

// Body returns the body of a request. One that Server has read is not copied; the
// result must not be changed.
func Body(r *http.Request) ([]byte, error) {
	if b, ok := r.Body.(*wholeBody); ok {
		return b.data, nil
	}
	return io.ReadAll(r.Body)
}

// readBody reads at most limit bytes. It allocates nothing for a request without
// a body, as most are.
func readBody(body io.Reader, limit int64) ([]byte, error) {
	if body == http.NoBody {
		return nil, nil
	}
	return io.ReadAll(io.LimitReader(body, limit))
}
