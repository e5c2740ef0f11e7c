package kernel

// Protocol is the first byte of a datagram between nodes.
type Protocol byte

// Protocols.
const (
	ProtocolMembership Protocol = 1
	ProtocolSpread     Protocol = 2
)

// DatagramHandler takes one datagram; it runs on the control goroutine.
type DatagramHandler func(from string, payload []byte)

// Datagrams sends and receives control messages over UDP.
type Datagrams interface {
	// Handle sets the handler of a protocol; call it during setup.
	Handle(p Protocol, h DatagramHandler)
	// Send sends one datagram without a promise that it arrives.
	Send(p Protocol, to string, payload []byte)
}
