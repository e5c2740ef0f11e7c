// Package sockopt sets the options by which TCP connections detect an unresponsive
// peer: keep-alive probes on idle connections and a timeout for unacknowledged data. It also
// tells whether the peer has closed a connection that is not read.
package sockopt

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Keep-alive settings: an unresponsive peer on an idle connection is detected after
// keepAliveIdle + keepAliveProbes*keepAliveInterval. The kernel takes the times in
// whole seconds.
const (
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveProbes   = 2
)

// Dialer returns a dialer that waits up to dialTimeout for a connection. The connections
// have keep-alive probes, and fail when sent data stays unacknowledged for userTimeout
// (TCP_USER_TIMEOUT, RFC 5482).
func Dialer(dialTimeout, userTimeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveProbes,
		},
		Control: func(_, _ string, c syscall.RawConn) error { return setUserTimeout(c, userTimeout) },
	}
}

// Configure sets the same options as Dialer on an accepted connection. It does
// nothing if conn is not a TCP connection.
func Configure(conn net.Conn, userTimeout time.Duration) error {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return nil
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return err
	}
	if err := setUserTimeout(raw, userTimeout); err != nil {
		return err
	}
	return tcp.SetKeepAliveConfig(net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveProbes})
}

// SetUserTimeout changes the time that sent data may stay unacknowledged; 0 selects the
// default of the system. It does nothing if conn is not a TCP connection.
func SetUserTimeout(conn net.Conn, userTimeout time.Duration) error {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return nil
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return err
	}
	return setUserTimeout(raw, userTimeout)
}

func setUserTimeout(c syscall.RawConn, timeout time.Duration) error {
	var sockoptErr error
	err := c.Control(func(fd uintptr) {
		sockoptErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return sockoptErr
}

// Reset reports whether a connection has been reset, also if a write has received that error, so that
// a read sees an ordinary end. It returns false if that cannot be told, as for a connection that is not
// TCP.
func Reset(conn net.Conn) bool { return polls(conn, 0, unix.POLLHUP|unix.POLLERR) }

// PeerClosed reports whether the other side has closed the connection, also if bytes that it
// sent before have not been read. It returns false if that cannot be told, as for a connection
// that is not TCP. An end of the sending direction alone counts as closed, as for readers.
func PeerClosed(conn net.Conn) bool {
	return polls(conn, unix.POLLRDHUP, unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR)
}

// polls reports whether poll returns one of the wanted events of a connection now. events are those to
// ask for.
func polls(conn net.Conn, events, wanted int16) bool {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	found := false
	err = raw.Control(func(fd uintptr) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: events}}
		n, pollErr := unix.Poll(fds, 0)
		found = pollErr == nil && n > 0 && fds[0].Revents&wanted != 0
	})
	return err == nil && found
}
