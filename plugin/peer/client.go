package peer

import (
	"bufio"
	"context"
	"errors"
	"io"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"github.com/dogwoodhatch/dogwoodhatch/bufpool"
	"github.com/dogwoodhatch/dogwoodhatch/call"
	"github.com/dogwoodhatch/dogwoodhatch/errs"
	"github.com/dogwoodhatch/dogwoodhatch/kernel"
	"github.com/dogwoodhatch/dogwoodhatch/wire"
)

// Call sends an attempt and returns when the head of the answer has arrived or
// the attempt is lost.
func (p *pool) Call(ctx context.Context, addr string, a *kernel.Attempt) (*kernel.Answer, error) {
	a.Head.StateRevision = p.replica.Revision()
	st, s, err := p.open(ctx, addr)
	if err != nil {
		return nil, err
	}
	scratch := bufpool.Get()
	defer bufpool.Put(scratch)
	buf, err := appendRequest((*scratch)[:0], &wire.StreamHead{Kind: &wire.StreamHead_Call{Call: st.contexts.encode(a.Head)}}, a.Body)
	if err != nil {
		s.release(st, false)
		return nil, errs.Wrap(err, errs.Internal, "report this fault", "attempt cannot be encoded")
	}
	r := newAnswerReader(ctx, st, s)
	if _, err := st.mux.Write(buf); err != nil {
		r.Close()
		return lost(ctx, err), nil
	}
	head, err := r.head()
	if err != nil {
		r.Close()
		return lost(ctx, err), nil
	}
	p.replica.ObserveRevision(addr, head.GetStateRevision())
	ans, err := r.answer(head)
	if err != nil {
		r.Close()
		return lost(ctx, err), nil
	}
	return ans, nil
}

// lost is the answer of an attempt that may have run.
func lost(ctx context.Context, err error) *kernel.Answer {
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

// answerReader reads the frames of one answer and proves that it is whole.
type answerReader struct {
	st      *stream
	sess    *session
	br      *bufio.Reader
	stop    func() bool
	hash    *xxhash.Digest
	bytes   uint64
	rest    []byte
	ended   error // io.EOF after a proved end
	closed  bool
	trailer *kernel.Trailer
}

func newAnswerReader(ctx context.Context, st *stream, s *session) *answerReader {
	r := &answerReader{st: st, sess: s, br: st.br, hash: xxhash.New(), trailer: &kernel.Trailer{}}
	r.stop = context.AfterFunc(ctx, func() { st.mux.SetDeadline(time.Unix(1, 0)) })
	return r
}

func (r *answerReader) head() (*wire.AnswerHead, error) {
	var f wire.AnswerFrame
	if err := readMessage(r.br, &f); err != nil {
		return nil, err
	}
	if f.GetHead() == nil {
		return nil, errs.New(errs.Invalid, "check that both nodes speak the node protocol", "answer does not start with its head")
	}
	return f.GetHead(), nil
}

func (r *answerReader) answer(h *wire.AnswerHead) (*kernel.Answer, error) {
	a := &kernel.Answer{
		Result: call.Result{
			Outcome:    decodeOutcome(h.GetOutcome()),
			Reason:     call.Reason(h.GetReason()),
			Status:     int(h.GetStatus()),
			RetryAfter: time.Duration(h.GetRetryAfterMs()) * time.Millisecond,
			Pressure:   decodePressure(h.GetPressure()),
		},
		Trailer: r.trailer,
	}
	if a.Outcome == call.Answered {
		var err error
		if a.Header, err = r.st.headers.decode(h.GetHeaders()); err != nil {
			return nil, err
		}
		a.Body = r
		return a, nil
	}
	if _, err := r.Read(nil); err == nil {
		_, _ = io.Copy(io.Discard, r)
	}
	r.Close()
	return a, nil
}

// Read implements io.Reader. It returns io.EOF only when the end of the answer
// arrived and its length and hash agree.
func (r *answerReader) Read(p []byte) (int, error) {
	for len(r.rest) == 0 {
		if r.ended != nil {
			return 0, r.ended
		}
		r.next()
	}
	n := copy(p, r.rest)
	r.rest = r.rest[n:]
	return n, nil
}

func (r *answerReader) next() {
	var f wire.AnswerFrame
	if err := readMessage(r.br, &f); err != nil {
		r.ended = errs.Wrap(io.ErrUnexpectedEOF, errs.Unavailable, "send the request again if it is idempotent", "answer broke off: %v", err)
		return
	}
	switch k := f.GetKind().(type) {
	case *wire.AnswerFrame_Data:
		r.rest = k.Data.GetChunk()
		r.bytes += uint64(len(r.rest))
		r.hash.Write(r.rest)
	case *wire.AnswerFrame_End:
		r.finish(k.End)
	default:
		r.ended = errs.New(errs.Invalid, "check that both nodes speak the node protocol", "unexpected frame in an answer")
	}
}

func (r *answerReader) finish(e *wire.AnswerEnd) {
	r.trailer.Done = true
	r.trailer.RetriesLeft = int(e.GetRetriesLeft())
	if e.GetOutcome() == wire.Outcome_OUTCOME_UNKNOWN || e.GetBodyBytes() != r.bytes || e.GetBodyHash() != r.hash.Sum64() {
		r.ended = errs.Wrap(io.ErrUnexpectedEOF, errs.Unavailable, "send the request again if it is idempotent",
			"answer broke off at the target node (%s)", e.GetReason())
		return
	}
	r.ended = io.EOF
}

// Close ends the attempt. A stream whose answer was whole carries another one;
// any other is closed, and the target cancels what still runs for it.
func (r *answerReader) Close() error {
	if r.closed {
		return nil
	}
	r.closed = true
	reuse := r.stop() && r.ended == io.EOF && r.br.Buffered() == 0
	r.sess.release(r.st, reuse)
	return nil
}

// Withdraw implements kernel.Transport.
func (p *pool) Withdraw(ctx context.Context, addr, node string, attempt call.ID) (bool, error) {
	var reply wire.WithdrawReply
	head := &wire.StreamHead{Kind: &wire.StreamHead_Withdraw{Withdraw: &wire.Withdraw{AttemptId: attempt[:], TargetNode: node}}}
	if err := p.ask(ctx, addr, head, &reply); err != nil {
		return false, err
	}
	return reply.GetNeverRan(), nil
}

// Claim implements kernel.Transport.
func (p *pool) Claim(ctx context.Context, addr string, c *wire.Claim) (*wire.ClaimReply, error) {
	reply := &wire.ClaimReply{}
	err := p.ask(ctx, addr, &wire.StreamHead{Kind: &wire.StreamHead_Claim{Claim: c}}, reply)
	return reply, err
}

// Release implements kernel.Transport.
func (p *pool) Release(ctx context.Context, addr string, rel *wire.Release) error {
	return p.ask(ctx, addr, &wire.StreamHead{Kind: &wire.StreamHead_Release{Release: rel}}, &wire.ClaimReply{})
}

// Exchange implements kernel.Transport.
func (p *pool) Exchange(ctx context.Context, addr, topic string, payload []byte) ([]byte, error) {
	var reply wire.Exchange
	head := &wire.StreamHead{Kind: &wire.StreamHead_Exchange{Exchange: &wire.Exchange{Topic: topic, Payload: payload, SourceNode: p.source}}}
	if err := p.ask(ctx, addr, head, &reply); err != nil {
		return nil, err
	}
	p.control.Inc(int64(len(payload) + len(reply.GetPayload())))
	return reply.GetPayload(), nil
}

// ask sends one message and reads one reply.
func (p *pool) ask(ctx context.Context, addr string, head *wire.StreamHead, reply proto.Message) error {
	st, s, err := p.open(ctx, addr)
	if err != nil {
		return err
	}
	defer s.release(st, false)
	stop := context.AfterFunc(ctx, func() { st.mux.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	if _, err := protodelim.MarshalTo(st.mux, head); err != nil {
		return errs.Wrap(err, errs.Unknown, "ask again over a new connection", "request to node %s may have been lost", addr)
	}
	if err := readMessage(st.br, reply); err != nil {
		return errs.Wrap(err, errs.Unknown, "ask again over a new connection", "reply of node %s was lost", addr)
	}
	return nil
}
