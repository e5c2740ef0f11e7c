package peer

import (
	"bytes"
	"net"
	"testing"
	"time"

	"github.com/hashicorp/yamux"
	"go.uber.org/zap"
	"pgregory.net/rapid"
)

// recorder records each write.
type recorder struct {
	net.Conn
	writes [][]byte
}

func (r *recorder) Write(p []byte) (int, error) {
	r.writes = append(r.writes, bytes.Clone(p))
	return len(p), nil
}

// TestHeaderAndBodyAreOneWrite checks that the header and the body of a data frame
// are sent in one write, and that other frames are sent alone.
func TestHeaderAndBodyAreOneWrite(t *testing.T) {
	r := &recorder{}
	c := &conn{Conn: r}
	data := []byte{0, frameTypeData, 0, 0, 0, 0, 0, 1, 0, 0, 0, 3}
	ping := []byte{0, 2, 0, 1, 0, 0, 0, 0, 0, 0, 0, 7}
	for _, p := range [][]byte{data, []byte("abc"), ping, data, []byte("def")} {
		if n, err := c.Write(p); n != len(p) || err != nil {
			t.Fatalf("write of %d bytes: %d, %v", len(p), n, err)
		}
	}
	want := []string{string(data) + "abc", string(ping), string(data) + "def"}
	if len(r.writes) != len(want) {
		t.Fatalf("%d writes, want %d", len(r.writes), len(want))
	}
	for i, w := range want {
		if string(r.writes[i]) != w {
			t.Errorf("write %d is %q, want %q", i, r.writes[i], w)
		}
	}
}

// TestSessionsOverCoalescedWrites sends bodies of random sizes in both directions
// over yamux sessions that combine header and body in one write.
func TestSessionsOverCoalescedWrites(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := net.Pipe()
		cfg := DefaultConfig().yamuxConfig(zap.NewNop())
		client, err := yamux.Client(&conn{Conn: a}, cfg)
		if err != nil {
			t.Fatal(err)
		}
		defer client.Close()
		server, err := yamux.Server(&conn{Conn: b}, cfg)
		if err != nil {
			t.Fatal(err)
		}
		defer server.Close()
		body := rapid.SliceOfN(rapid.Byte(), 1, 70_000).Draw(t, "body")
		go func() {
			st, err := server.AcceptStream()
			if err != nil {
				return
			}
			buf := make([]byte, len(body))
			readFull(st, buf)
			st.Write(buf)
		}()
		st, err := client.OpenStream()
		if err != nil {
			t.Fatal(err)
		}
		go st.Write(body)
		got := make([]byte, len(body))
		readFull(st, got)
		if !bytes.Equal(got, body) {
			t.Fatal("the body came back changed")
		}
	})
}

func readFull(st net.Conn, p []byte) {
	for n := 0; n < len(p); {
		m, err := st.Read(p[n:])
		if err != nil {
			return
		}
		n += m
	}
}

// TestLastReadIsMonotonic checks that the time of the last read byte has a monotonic
// reading. Without one, a step of the wall clock would make a session look silent,
// or hide that it is.
func TestLastReadIsMonotonic(t *testing.T) {
	s := &session{}
	near, far := net.Pipe()
	defer near.Close()
	go func() {
		far.Write([]byte("x"))
		far.Close()
	}()
	start := time.Now()
	if _, err := (&conn{Conn: near, lastRead: &s.lastRead}).Read(make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	lastRead := s.lastRead.load()
	if lastRead == lastRead.Round(0) {
		t.Error("the time of the last read byte has no monotonic reading")
	}
	if lastRead.Before(start) || lastRead.After(time.Now()) {
		t.Errorf("last read at %v, test started at %v", lastRead, start)
	}
}
