// Package datagram carries the control messages between nodes over UDP. The
// first byte of a datagram names the protocol that it belongs to.
package datagram

import (
	"github.com/dogwoodhatch/dogwoodhatch/kernel"
)

func init() { kernel.Register("datagram", kernel.StageSocket, setup) }

func setup(k *kernel.Kernel) (kernel.Plugin, error) {
	d := newDatagram(k)
	k.Datagrams = d
	return d, nil
}
