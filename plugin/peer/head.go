package peer

import (
	"bufio"
	"encoding/binary"
	"io"
	"time"

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
	if !wire.IsCall(start[prefix]) {
		return head, p.readControlMessage(st, int64(size), head)
	}
	estimate := headbudget.Cost(int(size), int(size)/usualLineBytes)
	if err := st.takeHeadRoom(estimate); err != nil {
		return nil, err
	}
	st.br.Discard(prefix) // the bytes were peeked
	b := make([]byte, size)
	if _, err := io.ReadFull(st.br, b); err != nil {
		return nil, classify(err)
	}
	if err := st.takeHeadRoom(headbudget.Cost(int(size), wire.CountHeaders(b)) - estimate); err != nil {
		return nil, err
	}
	return head, wire.Decode(b, head)
}

// readControlMessage reads a large message about control state, which takes room of its own.
func (p *peer) readControlMessage(st *inboundStream, size int64, head *wire.StreamHead) error {
	room := p.k.Heads.Messages.Account()
	if err := takeRoom(room, size); err != nil {
		return err
	}
	defer room.Release(size)
	return readMessage(st.br, head)
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

// takeHeadRoom takes room for a head that the stream keeps until it ends, or returns room if bytes
// is negative.
func (st *inboundStream) takeHeadRoom(bytes int64) error {
	if bytes < 0 {
		st.room.Release(-bytes)
		st.headBytes += bytes
		return nil
	}
	if err := takeRoom(st.room, bytes); err != nil {
		return err
	}
	st.headBytes += bytes
	return nil
}

// takeRoom waits for room for at most headRoomTimeout.
func takeRoom(a *headbudget.Account, bytes int64) error {
	claim := a.Claim(bytes)
	timeout := time.NewTimer(headRoomTimeout)
	defer timeout.Stop()
	select {
	case <-claim.Granted:
		return nil
	case <-timeout.C:
	}
	if claim.Abandon() {
		return nil
	}
	return errs.New(errs.Unavailable, "send it again later", "no room for a message of %d bytes in memory", bytes)
}
