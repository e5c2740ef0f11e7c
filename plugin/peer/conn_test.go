package peer

import (
	"bytes"
	"net"
	"testing"

	"github.com/hashicorp/yamux"
	"go.uber.org/zap"
	"pgregory.net/rapid"
)

// recorder notes each write.
type recorder struct {
	net.Conn
	writes [][]byte
}

func (r *recorder) Write(p []byte) (int, error) {
	r.writes = append(r.writes, bytes.Clone(p))
	return len(p), nil
}

func TestHeaderAndBodyLeaveTogether(t *testing.T) {
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

// TestSessionsOverCoalescedWrites sends bodies of any size both ways.
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
