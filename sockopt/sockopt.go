// Package sockopt makes TCP connections that notice a silent other side: the
// kernel probes them while they are idle and gives up on bytes that are not
// acknowledged.
package sockopt

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Probes of an idle connection; a silent one is found after probeIdle and
// probeCount times probeInterval. The kernel counts in whole seconds.
const (
	probeIdle     = time.Second
	probeInterval = time.Second
	probeCount    = 2
)

// Dialer returns a dialer for connections that end with an error when sent bytes
// stay unacknowledged for userTimeout (TCP_USER_TIMEOUT, RFC 5482).
func Dialer(dialTimeout, userTimeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount,
		},
		Control: func(_, _ string, c syscall.RawConn) error { return setUserTimeout(c, userTimeout) },
	}
}

// Configure sets the same on an accepted connection.
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
	return tcp.SetKeepAliveConfig(net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount})
}

func setUserTimeout(c syscall.RawConn, d time.Duration) error {
	var failed error
	err := c.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}
