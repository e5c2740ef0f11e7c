package datagram

import (
	"context"
	"net"
	"net/netip"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/dogwoodhatch/dogwoodhatch/errs"
	"github.com/dogwoodhatch/dogwoodhatch/kernel"
)

const maxDatagram = 2048 // bytes

// datagram is the plug-in. handlers are set during setup and only read later.
type datagram struct {
	k        *kernel.Kernel
	log      *zap.Logger
	conn     *net.UDPConn
	ctx      context.Context
	cancel   context.CancelFunc
	handlers map[kernel.Protocol]kernel.DatagramHandler
	sent     metrics.Counter
	received metrics.Counter
	dropped  metrics.Counter
}

func newDatagram(k *kernel.Kernel) *datagram {
	ctx, cancel := context.WithCancel(context.Background())
	return &datagram{
		k: k, log: k.Log, ctx: ctx, cancel: cancel,
		handlers: map[kernel.Protocol]kernel.DatagramHandler{},
		sent:     metrics.GetOrRegisterCounter("control.datagram_bytes_sent", k.Metrics),
		received: metrics.GetOrRegisterCounter("control.datagram_bytes_received", k.Metrics),
		dropped:  metrics.GetOrRegisterCounter("control.datagrams_dropped", k.Metrics),
	}
}

// Start implements kernel.Plugin.
func (d *datagram) Start(context.Context) error {
	addr, err := netip.ParseAddrPort(d.k.Settings.Listen.Gossip)
	if err != nil {
		return errs.Wrap(err, errs.Invalid, "correct gossip in section listen", "gossip address")
	}
	d.conn, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return errs.Wrap(err, errs.Unavailable, "free the port or change gossip in section listen", "cannot listen for gossip on %s", addr)
	}
	go d.receive()
	return nil
}

// Stop implements kernel.Plugin.
func (d *datagram) Stop(context.Context) error {
	d.cancel()
	return d.conn.Close()
}

// Handle implements kernel.Datagrams.
func (d *datagram) Handle(p kernel.Protocol, h kernel.DatagramHandler) { d.handlers[p] = h }

// Send implements kernel.Datagrams. A datagram that cannot be sent is lost,
// like one on the way.
func (d *datagram) Send(p kernel.Protocol, to string, payload []byte) {
	addr, err := netip.ParseAddrPort(to)
	if err != nil {
		d.log.Debug("datagram_bad_address", zap.String("to", to), zap.Error(err))
		return
	}
	buf := make([]byte, 0, len(payload)+1)
	buf = append(buf, byte(p))
	buf = append(buf, payload...)
	n, err := d.conn.WriteToUDPAddrPort(buf, addr)
	if err != nil {
		d.log.Debug("datagram_send_failed", zap.String("to", to), zap.Error(err))
	}
	d.sent.Inc(int64(n))
}

func (d *datagram) receive() {
	buf := make([]byte, maxDatagram)
	for {
		n, from, err := d.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			if d.ctx.Err() != nil {
				return
			}
			continue
		}
		d.received.Inc(int64(n))
		d.dispatch(from, buf[:n])
	}
}

// dispatch hands a datagram to the control goroutine. When that is overloaded
// the datagram is dropped; the protocols repair losses.
func (d *datagram) dispatch(from netip.AddrPort, data []byte) {
	if len(data) == 0 {
		return
	}
	h, ok := d.handlers[kernel.Protocol(data[0])]
	if !ok {
		d.dropped.Inc(1)
		return
	}
	payload := append([]byte(nil), data[1:]...)
	source := netip.AddrPortFrom(from.Addr().Unmap(), from.Port()).String()
	if !d.k.Control.Go(func() { h(source, payload) }) {
		d.dropped.Inc(1)
	}
}
