package sockopt

import (
	"net"
	"testing"
	"time"
)

// TestPeerClosedBehindUnreadBytes closes the other side of a connection with bytes unread.
func TestPeerClosedBehindUnreadBytes(t *testing.T) {
	for name, end := range map[string]func(*net.TCPConn) error{
		"closed":         (*net.TCPConn).Close,
		"sending closed": (*net.TCPConn).CloseWrite,
		"reset":          func(c *net.TCPConn) error { c.SetLinger(0); return c.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer ln.Close()
			peer, err := net.Dial("tcp", ln.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer peer.Close()
			conn, err := ln.Accept()
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			if _, err := peer.Write([]byte("unread")); err != nil {
				t.Fatal(err)
			}
			time.Sleep(20 * time.Millisecond)
			if PeerClosed(conn) {
				t.Fatal("an open connection counts as closed")
			}
			if err := end(peer.(*net.TCPConn)); err != nil {
				t.Fatal(err)
			}
			for until := time.Now().Add(5 * time.Second); !PeerClosed(conn); time.Sleep(time.Millisecond) {
				if time.Now().After(until) {
					t.Fatal("the end of the connection is not noticed")
				}
			}
		})
	}
	a, b := net.Pipe()
	b.Close()
	if PeerClosed(a) {
		t.Error("a connection that is not TCP counts as closed")
	}
}
