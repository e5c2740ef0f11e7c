package peer

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/yamux"
	"go.uber.org/zap"
	"google.golang.org/protobuf/encoding/protodelim"

	"github.com/dogwoodhatch/dogwoodhatch/bufpool"
	"github.com/dogwoodhatch/dogwoodhatch/call"
	"github.com/dogwoodhatch/dogwoodhatch/errs"
	"github.com/dogwoodhatch/dogwoodhatch/headbudget"
	"github.com/dogwoodhatch/dogwoodhatch/kernel"
	"github.com/dogwoodhatch/dogwoodhatch/sockopt"
	"github.com/dogwoodhatch/dogwoodhatch/wire"
)

// requestReadTimeout bounds reading the head of a request and its body.
const requestReadTimeout = 10 * time.Second

// peer holds the session pool to other nodes and the listener for their connections.
// It implements kernel.Plugin.
type peer struct {
	cfg    Config
	k      *kernel.Kernel
	pool   *pool
	ln     net.Listener
	ctx    context.Context
	cancel context.CancelFunc

	maxStrangers int

	mu        sync.Mutex
	sessions  map[*yamux.Session]struct{}
	strangers []*stranger // oldest first
}

func newPeer(cfg Config, k *kernel.Kernel) *peer {
	ctx, cancel := context.WithCancel(context.Background())
	return &peer{cfg: cfg, k: k, pool: newPool(cfg, k), ctx: ctx, cancel: cancel, maxStrangers: k.StrangerConns(), sessions: map[*yamux.Session]struct{}{}}
}

// Start implements kernel.Plugin.
func (p *peer) Start(context.Context) error {
	ln, err := net.Listen("tcp", p.k.Settings.Listen.Peer)
	if err != nil {
		return errs.Wrap(err, errs.Unavailable, "free the port or change peer in section listen", "cannot listen for nodes on %s", p.k.Settings.Listen.Peer)
	}
	p.ln = ln
	go p.accept()
	go p.pool.monitorSessions(p.ctx)
	return nil
}

// Stop implements kernel.Plugin.
func (p *peer) Stop(context.Context) error {
	p.cancel()
	err := p.ln.Close()
	p.pool.close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for s := range p.sessions {
		s.Close()
	}
	return err
}

func (p *peer) accept() {
	for {
		nc, err := p.ln.Accept()
		if err != nil {
			if p.ctx.Err() != nil {
				return
			}
			time.Sleep(p.cfg.CheckInterval)
			continue
		}
		if !p.addStranger(nc) {
			nc.Close()
			continue
		}
		go p.serveConn(nc)
	}
}

func (p *peer) serveConn(nc net.Conn) {
	if err := sockopt.Configure(nc, p.cfg.UnackedTimeout); err != nil {
		p.k.Log.Warn("peer_connection_unguarded", zap.Stringer("remote", nc.RemoteAddr()), zap.Error(err))
	}
	defer p.removeStranger(nc)
	mux, err := yamux.Server(&conn{Conn: nc}, p.cfg.yamuxConfig(p.k.Log))
	if err != nil {
		nc.Close()
		return
	}
	p.mu.Lock()
	p.sessions[mux] = struct{}{}
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		delete(p.sessions, mux)
		p.mu.Unlock()
		mux.Close()
	}()
	for first := true; ; first = false {
		st, err := mux.AcceptStream()
		if err != nil {
			return
		}
		if first {
			p.removeStranger(nc)
		}
		go p.serveStream(st)
	}
}

// strangerTimeout is how long a connection may carry no stream. A node dials for a call.
const strangerTimeout = 10 * time.Second

// stranger is a connection on which no stream was opened yet.
type stranger struct {
	net.Conn
	closed bool // to make room; it is listed until it has ended
}

// closedStrangersFraction is the part of maxStrangers, as its divisor, by which connections that have
// been closed, but have not ended, may exceed it.
const closedStrangersFraction = 8

// addStranger bounds the time of a new connection until its first stream, and closes the oldest
// of such connections if there are more than maxStrangers. It reports false if there is no place.
func (p *peer) addStranger(nc net.Conn) bool {
	nc.SetReadDeadline(time.Now().Add(strangerTimeout))
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.strangers) >= p.maxStrangers+max(p.maxStrangers/closedStrangersFraction, 1) {
		return false
	}
	p.strangers = append(p.strangers, &stranger{Conn: nc})
	if len(p.strangers) > p.maxStrangers {
		if i := slices.IndexFunc(p.strangers, func(s *stranger) bool { return !s.closed }); i >= 0 {
			p.strangers[i].closed = true
			p.strangers[i].Close()
		}
	}
	return true
}

// removeStranger lifts the bounds on a connection that has carried a stream or has ended.
func (p *peer) removeStranger(nc net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if i := slices.IndexFunc(p.strangers, func(s *stranger) bool { return s.Conn == nc }); i >= 0 {
		p.strangers = slices.Delete(p.strangers, i, i+1)
		nc.SetReadDeadline(time.Time{})
	}
}

// serveStream serves the messages of one stream in order. It returns when the source
// closes the stream, after an error, and after a message other than a call.
func (p *peer) serveStream(st *yamux.Stream) {
	defer st.Close()
	in := &inboundStream{Stream: st, br: bufio.NewReader(st), headers: newHeaderEncoder(), room: p.k.Heads.Nodes.Room()}
	defer in.room.Free()
	for p.serveNext(in) {
	}
}

// inboundStream is a stream that another node has opened.
type inboundStream struct {
	*yamux.Stream
	br       *bufio.Reader
	contexts contextDecoder // of requests
	headers  *headerEncoder // of answers

	room headbudget.Room // held until the stream ends, because contexts keeps the heads
}

// serveNext serves one message and reports whether another one may follow on the
// stream.
func (p *peer) serveNext(st *inboundStream) bool {
	if _, err := st.br.Peek(1); err != nil {
		return false
	}
	st.SetReadDeadline(time.Now().Add(requestReadTimeout))
	head, err := p.readStreamHead(st)
	if err != nil {
		return p.reject(st, err)
	}
	switch kind := head.GetKind().(type) {
	case *wire.StreamHead_Call:
		return p.serveCall(st, kind.Call)
	case *wire.StreamHead_Withdraw:
		id, err := call.ParseID(kind.Withdraw.GetAttemptId())
		if err != nil {
			return p.reject(st, err)
		}
		protodelim.MarshalTo(st, &wire.WithdrawReply{NeverRan: p.k.Target.Withdraw(kind.Withdraw.GetTargetNode(), id)})
	case *wire.StreamHead_Claim:
		protodelim.MarshalTo(st, p.k.Target.Claim(kind.Claim))
	case *wire.StreamHead_Release:
		p.k.Target.Release(kind.Release)
		protodelim.MarshalTo(st, &wire.ClaimReply{})
	case *wire.StreamHead_Exchange:
		p.serveExchange(st, kind.Exchange)
	default:
		return p.reject(st, errs.New(errs.Invalid, "upgrade this node", "stream of an unknown kind"))
	}
	return false
}

// reject logs a malformed stream and reports false, since nothing more can be read
// from it. serveStream then closes the stream, and the source treats its attempt as
// lost. Other streams of the session are not affected.
func (p *peer) reject(st *inboundStream, err error) bool {
	p.k.Log.Warn("peer_stream_rejected", zap.Stringer("remote", st.RemoteAddr()), zap.Error(err))
	return false
}

func (p *peer) serveExchange(st *inboundStream, x *wire.Exchange) {
	h, ok := p.k.Exchanges.Handler(x.GetTopic())
	if !ok {
		p.reject(st, errs.New(errs.Invalid, "upgrade this node", "exchange of unknown topic %q", x.GetTopic()))
		return
	}
	payload, err := h(x.GetSourceNode(), x.GetPayload())
	if err != nil {
		p.reject(st, err)
		return
	}
	p.pool.exchangeBytes.Inc(int64(len(x.GetPayload()) + len(payload)))
	protodelim.MarshalTo(st, &wire.Exchange{Topic: x.GetTopic(), Payload: payload, SourceNode: p.k.NodeID})
}

// serveCall serves one attempt and reports whether the source has sent another
// message on the stream.
func (p *peer) serveCall(st *inboundStream, head *wire.CallHead) bool {
	if err := st.contexts.decode(head); err != nil {
		return p.reject(st, err)
	}
	ctx, cancel := context.WithTimeout(p.ctx, time.Duration(head.GetTimeoutMs())*time.Millisecond)
	defer cancel()
	if !p.takeRoom(ctx, head) {
		return p.refuseBody(st, head)
	}
	next, err := p.serveBody(ctx, cancel, st, head)
	if err != nil {
		return p.reject(st, err)
	}
	return <-next
}

// serveBody reads the body of an attempt, for which there is room, and serves the attempt.
// The room is returned with the end of the answer, not when the stream is used again.
func (p *peer) serveBody(ctx context.Context, cancel func(), st *inboundStream, head *wire.CallHead) (<-chan bool, error) {
	defer p.k.CallBodies.Release(int64(head.GetBodyBytes()))
	body, err := readBody(st.br, int(head.GetBodyBytes()), p.cfg.MaxRequestBytes())
	if err != nil {
		return nil, err
	}
	st.SetReadDeadline(time.Time{})
	st.SetWriteDeadline(time.Time{})
	next := watchForNext(st.br, cancel)
	// Nobody reads the answer of an attempt that is over, so a write would wait for the window.
	stop := context.AfterFunc(ctx, func() { st.SetWriteDeadline(time.Unix(1, 0)) }) // a deadline in the past ends pending I/O
	defer stop()
	w := newAnswerWriter(st, st.headers, p.k.Replica.Revision())
	w.finish(p.k.Target.Serve(ctx, head, body, w))
	if w.err != nil {
		return closedStream, nil
	}
	return next, nil
}

// closedStream is received from instead of waiting for another message.
var closedStream = func() <-chan bool {
	c := make(chan bool)
	close(c)
	return c
}()

// roomWaitFraction is the part of the time of an attempt that may pass until there is room
// for its body. After a longer wait too little time is left to run it.
const roomWaitFraction = 0.5

// streamWindowBytes is the part of a body that yamux receives before it is read.
const streamWindowBytes = 256 << 10

// takeRoom takes room for the body of an attempt and reports whether there was any in
// time. Meanwhile flow control holds back the source.
func (p *peer) takeRoom(ctx context.Context, head *wire.CallHead) bool {
	size := int64(head.GetBodyBytes())
	if size <= chunkBytes && p.k.CallBodies.TryAcquire(size) {
		return true
	}
	wait := time.Duration(roomWaitFraction * float64(head.GetTimeoutMs()) * float64(time.Millisecond))
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	return p.k.CallBodies.AcquireBuffered(ctx, size, min(size, streamWindowBytes)) == nil
}

// refuseBody discards the body of an attempt, since the source sends it whole before it
// reads the answer, and refuses the attempt.
func (p *peer) refuseBody(st *inboundStream, head *wire.CallHead) bool {
	p.k.Log.Info("body_refused", zap.String("request", head.GetRequestId()), zap.Uint32("bytes", head.GetBodyBytes()))
	if err := discardBody(st.br, int(head.GetBodyBytes())); err != nil {
		return p.reject(st, err)
	}
	st.SetReadDeadline(time.Time{})
	w := newAnswerWriter(st, st.headers, p.k.Replica.Revision())
	w.finish(call.Result{Outcome: call.Refused, Reason: call.ReasonBodyRoom, RetriesLeft: int(head.GetRetries())})
	return w.err == nil
}

// watchForNext waits for the source to send another message or to close the stream,
// and then cancels the attempt. The source sends nothing before the answer is
// complete, so any byte that arrives means that the attempt is over. The channel
// receives true if another message has arrived.
func watchForNext(br *bufio.Reader, cancel context.CancelFunc) <-chan bool {
	next := make(chan bool, 1)
	go func() {
		_, err := br.Peek(1)
		cancel()
		next <- err == nil
	}()
	return next
}

// answerWriter sends the frames of one answer. A small answer is sent in one write.
type answerWriter struct {
	dst       io.Writer
	bw        *bufio.Writer // nil before the first frame and after the last
	headers   *headerEncoder
	hash      *xxhash.Digest
	bodyBytes uint64
	headSent  bool
	err       error
	revision  uint64 // revision of the store that this node has
}

// newAnswerWriter returns a writer to dst. It takes a buffer only once the first
// frame is written, so that queued and running calls hold none.
func newAnswerWriter(dst io.Writer, headers *headerEncoder, revision uint64) *answerWriter {
	return &answerWriter{dst: dst, headers: headers, hash: xxhash.New(), revision: revision}
}

// WriteHead implements kernel.AnswerWriter.
func (w *answerWriter) WriteHead(res call.Result, h http.Header) error {
	return w.writeHead(&wire.AnswerHead{
		Outcome: wire.Outcome_OUTCOME_ANSWERED, Status: uint32(res.Status), Headers: w.headers.encode(h), Pressure: encodePressure(res.Pressure),
		Announcement: EncodeAnnouncement(res.Pressure.Announced), ChainRefused: res.ChainRefused,
	})
}

func (w *answerWriter) writeHead(h *wire.AnswerHead) error {
	w.headSent = true
	h.StateEraPlus_1, h.StateRevision = wire.EncodeRevision(w.revision)
	return w.send(&wire.AnswerFrame{Kind: &wire.AnswerFrame_Head{Head: h}})
}

// Write implements io.Writer.
func (w *answerWriter) Write(p []byte) (int, error) {
	total := len(p)
	for len(p) > 0 {
		n := min(len(p), chunkBytes)
		w.hash.Write(p[:n])
		w.bodyBytes += uint64(n)
		if err := w.send(&wire.AnswerFrame{Kind: &wire.AnswerFrame_Data{Data: &wire.Data{Chunk: p[:n]}}}); err != nil {
			return 0, err
		}
		p = p[n:]
	}
	return total, nil
}

func (w *answerWriter) send(f *wire.AnswerFrame) error {
	if w.bw == nil {
		w.bw = bufpool.GetWriter(w.dst)
	}
	if w.err == nil {
		w.err = writeMessage(w.bw, f)
	}
	return w.err
}

// finish writes the end of the answer, after its head if WriteHead was not called, and
// flushes the buffer.
func (w *answerWriter) finish(res call.Result) {
	if !w.headSent {
		w.writeHead(&wire.AnswerHead{
			Outcome: outcomeToWire[res.Outcome], Reason: string(res.Reason), Status: uint32(res.Status),
			RetryAfterMs: uint32(res.RetryAfter.Milliseconds()), Pressure: encodePressure(res.Pressure), Announcement: EncodeAnnouncement(res.Pressure.Announced),
		})
	}
	w.send(&wire.AnswerFrame{Kind: &wire.AnswerFrame_End{End: &wire.AnswerEnd{
		BodyBytes: w.bodyBytes, BodyHash: w.hash.Sum64(), RetriesLeft: uint32(res.RetriesLeft),
		Outcome: outcomeToWire[res.Outcome], Reason: string(res.Reason),
	}}})
	if w.err == nil {
		w.err = w.bw.Flush()
	}
	bufpool.PutWriter(w.bw)
	w.bw = nil
}

var _ io.Writer = (*answerWriter)(nil)
