package edge

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/dogwoodhatch/dogwoodhatch/headbudget"
	"github.com/dogwoodhatch/dogwoodhatch/httphead"
)

var (
	errHeadTooLarge = errors.New("the head exceeds the limit")
	errNoHeadRoom   = errors.New("no room for the head in time")
	errCallerLeft   = errors.New("the caller has closed the connection")
)

// minLineBytes is the size of the shortest header line. The trailers of a chunked body are parsed from the
// buffer too, and fit it.
const minLineBytes = len("a:\r\n")

// headRoom is what the head of a request takes of the budgets until the request is answered.
type headRoom struct {
	parsed    int64 // of Heads.Callers
	readAhead int64 // of Heads.ReadAhead
}

// bufferHead reads until the whole head of a request is in c.br, and returns what it costs to parse it. A
// head that exceeds connBufferBytes takes room before its buffer grows.
func (c *serverConn) bufferHead() (int64, error) {
	var s httphead.Scanner
	var lines httphead.RequestLines
	for {
		buffered, _ := c.br.Peek(c.br.Buffered()) // what is buffered can be peeked
		if err := lines.Check(buffered); err != nil {
			return 0, err
		}
		if s.Scan(buffered[s.Bytes:]) {
			cost := headbudget.Cost(s.Bytes, s.Lines)
			if lines.HasCoding && c.readingRoom > 0 {
				cost += headbudget.Cost(c.br.Size(), c.br.Size()/minLineBytes)
			}
			return cost, nil
		}
		if len(buffered) == c.br.Size() {
			if err := c.growBuffer(); err != nil {
				return 0, err
			}
		}
		if _, err := c.br.Peek(len(buffered) + 1); err != nil {
			if c.limitReader.N <= 0 {
				return 0, errHeadTooLarge
			}
			return 0, err
		}
	}
}

// growBuffer doubles the buffer of the connection.
func (c *serverConn) growBuffer() error {
	size := min(int64(2*c.br.Size()), c.server.opts.MaxHeaderBytes()+connBufferBytes)
	if size <= int64(c.br.Size()) {
		return errHeadTooLarge
	}
	began := time.Now()
	if err := c.claim(c.reading, size, c.server.opts.RoomTimeout); err != nil {
		return err
	}
	c.headDeadline = c.headDeadline.Add(time.Since(began)) // the caller could not send meanwhile
	c.netConn.SetReadDeadline(c.headDeadline)
	// Both buffers are counted while one is copied.
	c.reading.Release(c.readingRoom)
	c.readingRoom = size
	c.resizeBuffer(int(size))
	return nil
}

// shrinkBuffer returns the room of a large buffer once what is left in it fits the usual one.
func (c *serverConn) shrinkBuffer() {
	if c.readingRoom == 0 || c.br.Buffered() > connBufferBytes {
		return
	}
	c.resizeBuffer(connBufferBytes)
	c.returnReadingRoom()
}

// discardBuffer drops what has arrived, once no further request is read.
func (c *serverConn) discardBuffer() {
	c.br = bufio.NewReaderSize(c.limitReader, connBufferBytes)
	c.returnReadingRoom()
}

func (c *serverConn) returnReadingRoom() {
	c.reading.Release(c.readingRoom)
	c.readingRoom = 0
}

// resizeBuffer replaces the buffer by one of another size with the same content.
func (c *serverConn) resizeBuffer(size int) {
	buffered, _ := c.br.Peek(c.br.Buffered()) // what is buffered can be peeked
	c.br = bufio.NewReaderSize(io.MultiReader(bytes.NewReader(bytes.Clone(buffered)), c.limitReader), size)
}

// takeHeadRoom waits for the room that a request takes in flight. A request behind unanswered ones
// waits for as long as there are any, since the caller waits for those in any case.
func (c *serverConn) takeHeadRoom(parsed int64) (headRoom, error) {
	var room headRoom
	if c.inFlight() > 0 {
		granted, err := c.claimReadAhead()
		if err != nil {
			return room, err
		}
		room.readAhead = granted
	}
	if err := c.claim(c.parsed, parsed, c.server.opts.RoomTimeout); err != nil {
		c.returnHeadRoom(room)
		return room, err
	}
	room.parsed = parsed
	return room, nil
}

// claimReadAhead waits until the next request may be read ahead, and returns 1, or until no request
// of the connection is unanswered, and returns 0.
func (c *serverConn) claimReadAhead() (int64, error) {
	claim := c.readAhead.Claim(1)
	for !c.awaitFor(claim.Granted, leaveCheckInterval) {
		if c.callerLeft() {
			if claim.Abandon() {
				c.readAhead.Release(1)
			}
			return 0, errCallerLeft
		}
		if c.inFlight() == 0 && !claim.Abandon() {
			return 0, nil
		}
	}
	return 1, nil
}

// claim waits until the connection has been granted bytes. The time limit counts from when no
// request of the connection is unanswered.
func (c *serverConn) claim(a *headbudget.Account, bytes int64, limit time.Duration) error {
	claim := a.Claim(bytes)
	var since time.Time
	for !c.awaitFor(claim.Granted, leaveCheckInterval) {
		err := errNoHeadRoom
		switch {
		case c.callerLeft():
			err = errCallerLeft
		case c.inFlight() > 0:
			continue
		case since.IsZero():
			since = time.Now()
			continue
		case time.Since(since) < limit:
			continue
		}
		if claim.Abandon() {
			return nil
		}
		return err
	}
	return nil
}

// awaitFor receives from ready for at most d, and reports whether it did.
func (c *serverConn) awaitFor(ready <-chan struct{}, d time.Duration) bool {
	select {
	case <-ready:
		return true
	default:
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ready:
		return true
	case <-timer.C:
		return false
	}
}

func (c *serverConn) returnHeadRoom(r headRoom) {
	c.parsed.Release(r.parsed)
	c.readAhead.Release(r.readAhead)
}

// refuseHead answers a request whose head got no room, and ends the connection.
func (c *serverConn) refuseHead() {
	c.discardBuffer()
	if !c.await(c.lastWritten) {
		return
	}
	w := c.newFinalResponse()
	c.server.opts.RefuseHead(w)
	// A write error does not matter, because the connection ends in any case.
	_ = w.finish()
	c.linger()
}

// refuseHead is the default of ServerOptions.RefuseHead.
func refuseHead(w http.ResponseWriter) {
	w.Header().Set("Retry-After", "1")
	http.Error(w, "not run: "+errNoHeadRoom.Error(), http.StatusServiceUnavailable)
}
