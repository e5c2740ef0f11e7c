package membership

import (
	"net"
	"strconv"
)

// IsCallable reports whether an address has the form host:port with a port from 1 to 65535.
func IsCallable(addr string) bool {
	host, port, err := net.SplitHostPort(addr)
	if err != nil || host == "" {
		return false
	}
	n, err := strconv.ParseUint(port, 10, 16)
	return err == nil && n > 0
}
