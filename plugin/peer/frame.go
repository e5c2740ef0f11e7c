package peer

import (
	"bufio"
	"io"

	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"github.com/dogwoodhatch/dogwoodhatch/errs"
	"github.com/dogwoodhatch/dogwoodhatch/wire"
)

const (
	chunkBytes    = 32 << 10 // largest part of a body in one Data frame
	maxFrameBytes = 1 << 20  // largest message
)

var frameOptions = protodelim.UnmarshalOptions{MaxSize: maxFrameBytes}

// readMessage reads one length-prefixed message. It returns io.ErrUnexpectedEOF if
// the stream ends before the message, and an error of kind errs.Invalid if reading
// fails in any other way.
func readMessage(r *bufio.Reader, m proto.Message) error {
	if err := frameOptions.UnmarshalFrom(r, m); err != nil {
		if err == io.EOF {
			return io.ErrUnexpectedEOF
		}
		return errs.Wrap(err, errs.Invalid, "check that both nodes speak the node protocol", "malformed frame")
	}
	return nil
}

// appendMessage appends a length-prefixed message to buf.
func appendMessage(buf []byte, m proto.Message) ([]byte, error) {
	buf = protowire.AppendVarint(buf, uint64(proto.Size(m)))
	return proto.MarshalOptions{UseCachedSize: true}.MarshalAppend(buf, m)
}

// writeMessage writes one length-prefixed message.
func writeMessage(w *bufio.Writer, m proto.Message) error {
	buf, err := appendMessage(w.AvailableBuffer(), m)
	if err != nil {
		return err
	}
	_, err = w.Write(buf)
	return err
}

// appendRequest appends the head of a stream and the request body in Data frames to
// buf.
func appendRequest(buf []byte, head *wire.StreamHead, body []byte) ([]byte, error) {
	buf, err := appendMessage(buf, head)
	for len(body) > 0 && err == nil {
		n := min(len(body), chunkBytes)
		buf, err = appendMessage(buf, &wire.Data{Chunk: body[:n]})
		body = body[n:]
	}
	return buf, err
}

// readBody reads Data frames until size bytes have arrived. It returns an error if
// size exceeds limit.
func readBody(r *bufio.Reader, size, limit int) ([]byte, error) {
	if size > limit {
		return nil, errs.New(errs.Invalid, "raise max_request_bytes in section limits or send less",
			"request body of %d bytes exceeds the limit of %d", size, limit)
	}
	body := make([]byte, 0, size)
	for len(body) < size {
		var d wire.Data
		if err := readMessage(r, &d); err != nil {
			return nil, err
		}
		if len(d.Chunk) == 0 || len(body)+len(d.Chunk) > size {
			return nil, errs.New(errs.Invalid, "check that both nodes speak the node protocol",
				"body frame of %d bytes does not fit a body of %d", len(d.Chunk), size)
		}
		body = append(body, d.Chunk...)
	}
	return body, nil
}
