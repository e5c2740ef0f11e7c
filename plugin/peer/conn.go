package peer

import (
	"encoding/binary"
	"net"
	"sync/atomic"
	"time"
)

// epoch is the zero of atomicTime. Because it has a monotonic reading, stored times
// are not affected by steps of the wall clock.
var epoch = time.Now()

// atomicTime is a time that several goroutines load and store.
type atomicTime struct{ sinceEpoch atomic.Int64 }

func (a *atomicTime) store(t time.Time) { a.sinceEpoch.Store(int64(t.Sub(epoch))) }

func (a *atomicTime) load() time.Time { return epoch.Add(time.Duration(a.sinceEpoch.Load())) }

// Layout of a yamux frame header (version, type, flags, stream id, length), and the
// write buffer.
const (
	frameHeaderBytes   = 12
	frameTypeOffset    = 1
	frameLengthOffset  = 8
	frameTypeData      = 0
	maxKeptBufferBytes = 16 << 10 // largest buffer kept between writes
)

// conn is the connection below a yamux session. It records when bytes arrive and
// writes the header of a data frame together with its body. yamux writes the two
// separately, which costs a system call and often an extra packet.
type conn struct {
	net.Conn
	lastRead *atomicTime // when bytes last arrived; nil if not recorded

	pendingHeader []byte // header that is written together with its body
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && c.lastRead != nil {
		c.lastRead.store(time.Now())
	}
	return n, err
}

// Write implements net.Conn. It is called only by the send loop of the session.
func (c *conn) Write(p []byte) (int, error) {
	if len(c.pendingHeader) == 0 && isDataHeader(p) {
		c.pendingHeader = append(c.pendingHeader, p...)
		return len(p), nil
	}
	if len(c.pendingHeader) == 0 {
		return c.Conn.Write(p)
	}
	buf := append(c.pendingHeader, p...)
	n, err := c.Conn.Write(buf)
	headerLen := len(c.pendingHeader)
	c.pendingHeader = buf[:0]
	if cap(buf) > maxKeptBufferBytes {
		c.pendingHeader = nil
	}
	return max(n-headerLen, 0), err
}

// isDataHeader reports whether p is the header of a data frame with a body.
func isDataHeader(p []byte) bool {
	return len(p) == frameHeaderBytes && p[frameTypeOffset] == frameTypeData && binary.BigEndian.Uint32(p[frameLengthOffset:]) > 0
}
