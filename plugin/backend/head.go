package backend

import (
	"bufio"
	"bytes"
	"io"

	"github.com/dogwoodhatch/dogwoodhatch/errs"
	"github.com/dogwoodhatch/dogwoodhatch/headbudget"
	"github.com/dogwoodhatch/dogwoodhatch/httphead"
)

// usualLineBytes is the size of a header line, for which room is taken before the lines of a large
// head can be counted.
const usualLineBytes = 16

// bufferHead reads until the whole head of a response is in the buffer of the connection, and takes
// room for it until the response is closed. It waits for room, since the request has run, until the
// deadline of the request.
func (x *exchange) bufferHead() error {
	var s httphead.Scanner
	var lines httphead.ResponseLines
	for {
		br := x.conn.br
		buffered, _ := br.Peek(br.Buffered()) // what is buffered can be peeked
		if err := lines.Check(buffered); err != nil {
			return err
		}
		if s.Scan(buffered[s.Bytes:]) {
			x.ambiguous = lines.Ambiguous()
			return x.takeRoom(headbudget.Cost(s.Bytes, s.Lines))
		}
		if len(buffered) == br.Size() {
			if br.Size() > readBufferBytes {
				return errHeadTooLong
			}
			if err := x.takeRoom(headbudget.Cost(maxHeadBytes, maxHeadBytes/usualLineBytes)); err != nil {
				return err
			}
			x.conn.br = bufio.NewReaderSize(io.MultiReader(bytes.NewReader(bytes.Clone(buffered)), x.conn), maxHeadBytes+readBufferBytes)
		}
		if _, err := x.conn.br.Peek(len(buffered) + 1); err != nil {
			if err == io.EOF && len(buffered) > 0 {
				return io.ErrUnexpectedEOF
			}
			return err
		}
	}
}

func (x *exchange) takeRoom(units int64) error {
	if err := x.room.Set(x.ctx, units); err != nil {
		return errs.Wrap(err, errs.Unavailable, "send it again later", "no room for the head of a response in memory")
	}
	return nil
}
