package peer

import (
	"bufio"
	"errors"
	"io"
	"net"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"github.com/dogwoodhatch/dogwoodhatch/errs"
	"github.com/dogwoodhatch/dogwoodhatch/wire"
)

const (
	chunkBytes    = 32 << 10 // largest part of a body in one Data frame
	maxFrameBytes = 1 << 20  // largest message of a call
	maxReplyBytes = 64 << 20 // largest reply to another message, such as the state of all members
)

var (
	frameOptions = protodelim.UnmarshalOptions{MaxSize: maxFrameBytes}
	replyOptions = protodelim.UnmarshalOptions{MaxSize: maxReplyBytes}
)

// readMessage reads one length-prefixed message. It returns io.ErrUnexpectedEOF if
// the stream ends before the end of the message, the error of the connection if that is
// lost, and an error of kind errs.Invalid for a malformed message.
func readMessage(r *bufio.Reader, m proto.Message) error { return unmarshalFrom(r, m, frameOptions) }

// readReply reads one reply like readMessage, up to maxReplyBytes.
func readReply(r *bufio.Reader, m proto.Message) error { return unmarshalFrom(r, m, replyOptions) }

func unmarshalFrom(r *bufio.Reader, m proto.Message, opts protodelim.UnmarshalOptions) error {
	return classify(opts.UnmarshalFrom(r, m))
}

// classify converts an error of reading a message to what readMessage returns.
func classify(err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, io.EOF):
		return io.ErrUnexpectedEOF
	case isConnectionError(err):
		return err
	}
	return errs.Wrap(err, errs.Invalid, "check that both nodes speak the node protocol", "malformed frame")
}

// isConnectionError reports whether err comes from the stream or its connection rather
// than from what was read.
func isConnectionError(err error) bool {
	for _, lost := range []error{io.ErrUnexpectedEOF, yamux.ErrConnectionReset, yamux.ErrSessionShutdown, yamux.ErrStreamClosed} {
		if errors.Is(err, lost) {
			return true
		}
	}
	var netErr net.Error // also deadlines of yamux
	return errors.As(err, &netErr)
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

// writeRequest writes buf, which holds the head of a stream, and the request body in Data
// frames. buf is reused for one frame at a time, so that a large body is not copied as a
// whole; the first frame is written together with the head.
func writeRequest(w io.Writer, buf, body []byte) error {
	for {
		n := min(len(body), chunkBytes)
		if n > 0 {
			var err error
			if buf, err = appendMessage(buf, &wire.Data{Chunk: body[:n]}); err != nil {
				return err
			}
		}
		if _, err := w.Write(buf); err != nil {
			return err
		}
		if body = body[n:]; len(body) == 0 {
			return nil
		}
		buf = buf[:0]
	}
}

// discardBody reads Data frames until size bytes have arrived, and keeps none of them.
func discardBody(r *bufio.Reader, size int) error {
	for size > 0 {
		var d wire.Data
		if err := readMessage(r, &d); err != nil {
			return err
		}
		if len(d.Chunk) == 0 || len(d.Chunk) > size {
			return errs.New(errs.Invalid, "check that both nodes speak the node protocol",
				"body frame of %d bytes does not fit a body of %d", len(d.Chunk), size)
		}
		size -= len(d.Chunk)
	}
	return nil
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
