package peer

import (
	"bufio"
	"context"
	"encoding/binary"
	"io"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/dogwoodhatch/dogwoodhatch/errs"
	"github.com/dogwoodhatch/dogwoodhatch/headbudget"
	"github.com/dogwoodhatch/dogwoodhatch/wire"
)

const (
	// largeHeadBytes is the size above which the first message of a request takes room. A stream
	// that has carried a larger head is not used again, because both ends keep the heads of a stream.
	largeHeadBytes = 4 << 10
	// usualLineBytes is the size of a header line in a message, for which room is taken before the
	// lines can be counted.
	usualLineBytes = 16
	// headRoomTimeout bounds the wait for room. The source withdraws an attempt that got none.
	headRoomTimeout = 2 * time.Second
)

// readStreamHead reads the first message of a request. A large one takes room before it is read,
// and before it is decoded if it has many header lines. The errors are those of readMessage, and
// one of kind errs.Unavailable if there was no room.
func (p *peer) readStreamHead(st *inboundStream) (*wire.StreamHead, error) {
	head := &wire.StreamHead{}
	size, prefix, err := peekSize(st.br)
	if err != nil {
		return nil, err
	}
	if size <= largeHeadBytes || size > maxFrameBytes {
		return head, readMessage(st.br, head)
	}
	start, err := st.br.Peek(prefix + 1)
	if err != nil {
		return nil, classify(err)
	}
	ctx, cancel := context.WithTimeout(p.ctx, headRoomTimeout)
	defer cancel()
	if wire.IsCall(start[prefix]) {
		return head, readLargeHead(ctx, st.br, head, wire.CountCallHeaders, &st.room)
	}
	room := p.k.Heads.Messages.Room()
	if err := room.Set(ctx, int64(size)); err != nil {
		return nil, errNoRoom(err, size)
	}
	defer room.Free()
	return head, readMessage(st.br, head)
}

// readLargeHead reads a message with headers, whose number count returns, and adds what it takes to
// room.
func readLargeHead(ctx context.Context, br *bufio.Reader, m proto.Message, count func([]byte) int, room *headbudget.Room) error {
	size, prefix, err := peekSize(br)
	if err != nil {
		return err
	}
	estimate := headbudget.Cost(int(size), int(size)/usualLineBytes)
	if err := room.Add(ctx, estimate); err != nil {
		return errNoRoom(err, size)
	}
	br.Discard(prefix) // the bytes were peeked
	b := make([]byte, size)
	if _, err := io.ReadFull(br, b); err != nil {
		return classify(err)
	}
	if err := room.Add(ctx, headbudget.Cost(int(size), count(b))-estimate); err != nil {
		return errNoRoom(err, size)
	}
	return wire.Decode(b, m)
}

func errNoRoom(cause error, size uint64) error {
	return errs.Wrap(cause, errs.Unavailable, "send it again later", "no room for a message of %d bytes in memory", size)
}

// peekSize returns the size of the next message and that of its prefix, which states it.
func peekSize(br *bufio.Reader) (size uint64, prefix int, err error) {
	for prefix = 1; ; prefix++ {
		b, err := br.Peek(prefix)
		if err != nil {
			return 0, 0, classify(err)
		}
		size, n := binary.Uvarint(b)
		switch {
		case n > 0:
			return size, n, nil
		case n < 0:
			return 0, 0, errs.New(errs.Invalid, "check that both nodes speak the node protocol", "malformed size of a message")
		}
	}
}
