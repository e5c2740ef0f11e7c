package peer

import (
	"encoding/binary"
	"net"
	"sync/atomic"
	"time"
)

// epoch is the origin of instants. Its monotonic reading keeps them from steps of
// the wall clock.
var epoch = time.Now()

// instant is a moment that several goroutines read and set.
type instant struct{ sinceEpoch atomic.Int64 }

func (i *instant) set(t time.Time) { i.sinceEpoch.Store(int64(t.Sub(epoch))) }

func (i *instant) get() time.Time { return epoch.Add(time.Duration(i.sinceEpoch.Load())) }

// Layout of a yamux frame header: version, type, flags, stream id, length.
const (
	frameHeaderBytes  = 12
	frameTypeAt       = 1
	frameLengthAt     = 8
	frameTypeData     = 0
	writeBufferedSize = 16 << 10 // of the buffer that is kept between writes
)

// conn is a connection below a yamux session. It notes when bytes arrive, and
// sends the header of a data frame with its body: yamux writes them one after the
// other, which costs a system call and often a packet more.
type conn struct {
	net.Conn
	last *instant // of the last byte read; nil notes nothing

	pending []byte // a header that waits for its body
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && c.last != nil {
		c.last.set(time.Now())
	}
	return n, err
}

// Write implements net.Conn. Only the send loop of the session calls it.
func (c *conn) Write(p []byte) (int, error) {
	if len(c.pending) == 0 && announcesBody(p) {
		c.pending = append(c.pending, p...)
		return len(p), nil
	}
	if len(c.pending) == 0 {
		return c.Conn.Write(p)
	}
	buf := append(c.pending, p...)
	n, err := c.Conn.Write(buf)
	held := len(c.pending)
	c.pending = buf[:0]
	if cap(buf) > writeBufferedSize {
		c.pending = nil
	}
	return max(n-held, 0), err
}

// announcesBody reports whether p is the header of a data frame with a body.
func announcesBody(p []byte) bool {
	return len(p) == frameHeaderBytes && p[frameTypeAt] == frameTypeData && binary.BigEndian.Uint32(p[frameLengthAt:]) > 0
}
