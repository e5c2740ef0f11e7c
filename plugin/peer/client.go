package peer

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"github.com/dogwoodhatch/dogwoodhatch/bufpool"
	"github.com/dogwoodhatch/dogwoodhatch/call"
	"github.com/dogwoodhatch/dogwoodhatch/errs"
	"github.com/dogwoodhatch/dogwoodhatch/headbudget"
	"github.com/dogwoodhatch/dogwoodhatch/kernel"
	"github.com/dogwoodhatch/dogwoodhatch/wire"
)

// Call implements kernel.Transport. It returns when the head of the answer has arrived
// or the attempt is lost.
func (p *pool) Call(ctx context.Context, addr string, a *kernel.Attempt) (*kernel.Answer, error) {
	a.Head.StateEraPlus_1, a.Head.StateRevision = wire.EncodeRevision(p.replica.Revision())
	st, s, err := p.openStream(ctx, addr)
	if err != nil {
		return nil, err
	}
	scratch := bufpool.Get()
	defer bufpool.Put(scratch)
	buf, err := appendMessage((*scratch)[:0], &wire.StreamHead{Kind: &wire.StreamHead_Call{Call: st.contexts.encode(a.Head)}})
	if err != nil {
		s.release(st, false)
		return nil, errs.Wrap(err, errs.Internal, "report this fault", "attempt cannot be encoded")
	}
	r := newAnswerReader(ctx, st, s, p.heads.NodeAnswers.Room())
	r.largeHead = len(buf) > largeHeadBytes
	if err := writeRequest(st.mux, buf, a.Body); err != nil {
		r.Close()
		return lostAnswer(ctx, err), nil
	}
	head, err := r.readHead(ctx)
	if err != nil {
		r.Close()
		return lostAnswer(ctx, err), nil
	}
	p.replica.ObserveRevision(addr, wire.DecodeRevision(head.GetStateEraPlus_1(), head.GetStateRevision(), p.replica.Revision()))
	ans, err := r.decodeAnswer(head)
	if err != nil {
		r.Close()
		return lostAnswer(ctx, err), nil
	}
	return ans, nil
}

// lostAnswer returns the answer for an attempt that may have run.
func lostAnswer(ctx context.Context, err error) *kernel.Answer {
	reason := call.ReasonConnLost
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		reason = call.ReasonDeadline
	case ctx.Err() != nil:
		reason = call.ReasonCanceled
	case errs.KindOf(err) == errs.Invalid:
		reason = call.ReasonTruncated
	}
	return &kernel.Answer{Result: call.Result{Outcome: call.Unknown, Reason: reason}}
}

// maxStatus is the highest status that an answer can have.
const maxStatus = 999

// answerReader reads the frames of one answer and verifies that it is complete.
type answerReader struct {
	stream     *stream
	session    *session
	br         *bufio.Reader
	stopCancel func() bool // detaches the stream from the context; false if the context ended first
	hash       *xxhash.Digest
	bodyBytes  uint64
	unread     []byte
	largeHead  bool  // the stream has carried a large head
	endErr     error // set once no more frames are read; io.EOF after a verified end
	closed     bool
	room       headbudget.Room // of the head of the answer
	trailer    *kernel.Trailer
}

func newAnswerReader(ctx context.Context, st *stream, s *session, room headbudget.Room) *answerReader {
	r := &answerReader{stream: st, session: s, br: st.br, room: room, hash: xxhash.New(), trailer: &kernel.Trailer{}}
	r.stopCancel = context.AfterFunc(ctx, func() { st.mux.SetDeadline(time.Unix(1, 0)) }) // a deadline in the past ends pending I/O
	return r
}

// readHead reads the head of the answer. A large one waits for room until ctx ends.
func (r *answerReader) readHead(ctx context.Context) (*wire.AnswerHead, error) {
	size, _, err := peekSize(r.br)
	if err != nil {
		return nil, err
	}
	var f wire.AnswerFrame
	if size <= largeHeadBytes || size > maxFrameBytes {
		err = readMessage(r.br, &f)
	} else {
		r.largeHead = true
		err = readLargeHead(ctx, r.br, &f, wire.CountAnswerHeaders, &r.room)
	}
	if err != nil {
		return nil, err
	}
	if f.GetHead() == nil {
		return nil, errs.New(errs.Invalid, "check that both nodes speak the node protocol", "first frame of the answer is not its head")
	}
	return f.GetHead(), nil
}

// decodeAnswer converts the head of an answer. The body of an answered call is read
// through r; any other answer is read to its end.
func (r *answerReader) decodeAnswer(h *wire.AnswerHead) (*kernel.Answer, error) {
	a := &kernel.Answer{
		Result: call.Result{
			Outcome:      decodeOutcome(h.GetOutcome()),
			Reason:       call.Reason(h.GetReason()),
			Status:       int(h.GetStatus()),
			RetryAfter:   time.Duration(h.GetRetryAfterMs()) * time.Millisecond,
			Pressure:     decodePressure(h.GetPressure()),
			ChainRefused: h.GetChainRefused(),
		},
		Trailer: r.trailer,
	}
	a.Pressure.Announced = DecodeAnnouncement(h.GetAnnouncement())
	if a.Outcome == call.Answered {
		if a.Status < http.StatusOK || a.Status > maxStatus {
			return nil, errs.New(errs.Invalid, "upgrade the other node", "an answer with status %d", a.Status)
		}
		var err error
		if a.Header, err = r.stream.headers.decode(h.GetHeaders()); err != nil {
			return nil, err
		}
		r.largeHead = r.largeHead || r.stream.headers.textBytes > largeHeadBytes
		a.Body = r
		return a, nil
	}
	if _, err := r.Read(nil); err == nil {
		_, _ = io.Copy(io.Discard, r)
	}
	r.Close()
	return a, nil
}

// Read implements io.Reader. It returns io.EOF only after the end frame has arrived
// and its length and hash match the body.
func (r *answerReader) Read(p []byte) (int, error) {
	for len(r.unread) == 0 {
		if r.endErr != nil {
			return 0, r.endErr
		}
		r.readFrame()
	}
	n := copy(p, r.unread)
	r.unread = r.unread[n:]
	return n, nil
}

func (r *answerReader) readFrame() {
	var f wire.AnswerFrame
	if err := readMessage(r.br, &f); err != nil {
		r.endErr = errs.Wrap(io.ErrUnexpectedEOF, errs.Unavailable, "send the request again if it is idempotent", "answer is incomplete: %v", err)
		return
	}
	switch k := f.GetKind().(type) {
	case *wire.AnswerFrame_Data:
		r.unread = k.Data.GetChunk()
		r.bodyBytes += uint64(len(r.unread))
		r.hash.Write(r.unread)
	case *wire.AnswerFrame_End:
		r.verifyEnd(k.End)
	default:
		r.endErr = errs.New(errs.Invalid, "check that both nodes speak the node protocol", "unexpected frame in an answer")
	}
}

// verifyEnd compares the end frame with the body that was read.
func (r *answerReader) verifyEnd(e *wire.AnswerEnd) {
	r.trailer.Done = true
	r.trailer.RetriesLeft = int(e.GetRetriesLeft())
	if e.GetOutcome() == wire.Outcome_OUTCOME_UNKNOWN || e.GetBodyBytes() != r.bodyBytes || e.GetBodyHash() != r.hash.Sum64() {
		r.endErr = errs.Wrap(io.ErrUnexpectedEOF, errs.Unavailable, "send the request again if it is idempotent",
			"answer broke off at the target node or was altered (%s)", e.GetReason())
		return
	}
	r.endErr = io.EOF
}

// Close implements io.Closer. A stream whose answer was read completely is kept for
// another attempt, unless a head on it was large. Any other stream is closed, which cancels the attempt at the
// target if it still runs.
func (r *answerReader) Close() error {
	if r.closed {
		return nil
	}
	r.closed = true
	r.room.Free()
	reuse := r.stopCancel() && !r.largeHead && r.endErr == io.EOF && r.br.Buffered() == 0
	r.session.release(r.stream, reuse)
	return nil
}

// Withdraw implements kernel.Transport.
func (p *pool) Withdraw(ctx context.Context, addr, node string, attempt call.ID) (bool, error) {
	var reply wire.WithdrawReply
	head := &wire.StreamHead{Kind: &wire.StreamHead_Withdraw{Withdraw: &wire.Withdraw{AttemptId: attempt[:], TargetNode: node}}}
	if err := p.roundTrip(ctx, addr, head, &reply); err != nil {
		return false, err
	}
	return reply.GetNeverRan(), nil
}

// Claim implements kernel.Transport.
func (p *pool) Claim(ctx context.Context, addr string, c *wire.Claim) (*wire.ClaimReply, error) {
	reply := &wire.ClaimReply{}
	err := p.roundTrip(ctx, addr, &wire.StreamHead{Kind: &wire.StreamHead_Claim{Claim: c}}, reply)
	return reply, err
}

// Release implements kernel.Transport.
func (p *pool) Release(ctx context.Context, addr string, rel *wire.Release) error {
	return p.roundTrip(ctx, addr, &wire.StreamHead{Kind: &wire.StreamHead_Release{Release: rel}}, &wire.ClaimReply{})
}

// Exchange implements kernel.Transport.
func (p *pool) Exchange(ctx context.Context, addr, topic string, payload []byte) ([]byte, error) {
	var reply wire.Exchange
	head := &wire.StreamHead{Kind: &wire.StreamHead_Exchange{Exchange: &wire.Exchange{Topic: topic, Payload: payload, SourceNode: p.sourceNode}}}
	if err := p.roundTrip(ctx, addr, head, &reply); err != nil {
		return nil, err
	}
	p.exchangeBytes.Inc(int64(len(payload) + len(reply.GetPayload())))
	return reply.GetPayload(), nil
}

// roundTrip sends one message on a stream of its own and reads one reply.
func (p *pool) roundTrip(ctx context.Context, addr string, head *wire.StreamHead, reply proto.Message) error {
	st, s, err := p.openStream(ctx, addr)
	if err != nil {
		return err
	}
	defer s.release(st, false)
	stop := context.AfterFunc(ctx, func() { st.mux.SetDeadline(time.Unix(1, 0)) }) // a deadline in the past ends pending I/O
	defer stop()
	if _, err := protodelim.MarshalTo(st.mux, head); err != nil {
		return errs.Wrap(err, errs.Unknown, "ask again over a new connection", "request to node %s may have been lost", addr)
	}
	if err := readReply(st.br, reply); err != nil {
		return errs.Wrap(err, errs.Unknown, "ask again over a new connection", "reply of node %s was lost", addr)
	}
	return nil
}
