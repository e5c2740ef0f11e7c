package peer

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"testing/iotest"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/encoding/protodelim"
	"pgregory.net/rapid"

	"github.com/dogwoodhatch/dogwoodhatch/bufpool"
	"github.com/dogwoodhatch/dogwoodhatch/call"
	"github.com/dogwoodhatch/dogwoodhatch/errs"
	"github.com/dogwoodhatch/dogwoodhatch/kernel"
	"github.com/dogwoodhatch/dogwoodhatch/wire"
)

// encodeAnswer returns the frames of a complete answer.
func encodeAnswer(t *rapid.T, body []byte) []byte {
	var buf bytes.Buffer
	w := newAnswerWriter(&buf, newHeaderEncoder(), 0)
	if err := w.WriteHead(call.Result{Status: http.StatusOK}, http.Header{"A": {"b"}}); err != nil {
		t.Fatal(err)
	}
	if _, err := w.Write(body); err != nil {
		t.Fatal(err)
	}
	w.finish(call.Result{Outcome: call.Answered, RetriesLeft: 2})
	return buf.Bytes()
}

func readAnswer(frames []byte) (*answerReader, []byte, error) {
	r := &answerReader{br: bufio.NewReader(bytes.NewReader(frames)), hash: xxhash.New(), trailer: &kernel.Trailer{}}
	if _, err := r.readHead(context.Background()); err != nil {
		return r, nil, err
	}
	body, err := io.ReadAll(r)
	return r, body, err
}

// TestTruncatedAnswerIsNotComplete truncates the frames of an answer at a random
// position and checks that reading it fails.
func TestTruncatedAnswerIsNotComplete(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		body := rapid.SliceOfN(rapid.Byte(), 0, 100_000).Draw(t, "body")
		frames := encodeAnswer(t, body)
		r, got, err := readAnswer(frames)
		if err != nil || !bytes.Equal(got, body) || r.trailer.RetriesLeft != 2 || !r.trailer.Done {
			t.Fatalf("whole answer: %d of %d bytes, %v", len(got), len(body), err)
		}
		cut := rapid.IntRange(0, len(frames)-1).Draw(t, "cut")
		if _, _, err := readAnswer(frames[:cut]); err == nil {
			t.Fatalf("an answer cut at %d of %d bytes was read as whole", cut, len(frames))
		}
	})
}

func TestAlteredBodyIsNotComplete(t *testing.T) {
	var buf bytes.Buffer
	for _, f := range []*wire.AnswerFrame{
		{Kind: &wire.AnswerFrame_Head{Head: &wire.AnswerHead{Outcome: wire.Outcome_OUTCOME_ANSWERED}}},
		{Kind: &wire.AnswerFrame_Data{Data: &wire.Data{Chunk: []byte("b")}}},
		{Kind: &wire.AnswerFrame_End{End: &wire.AnswerEnd{BodyBytes: 1, BodyHash: xxhash.Sum64String("a")}}},
	} {
		protodelim.MarshalTo(&buf, f)
	}
	if _, _, err := readAnswer(buf.Bytes()); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Fatalf("got %v", err)
	}
}

func FuzzReadMessage(f *testing.F) {
	head, _ := appendMessage(nil, &wire.StreamHead{Kind: &wire.StreamHead_Withdraw{Withdraw: &wire.Withdraw{}}})
	var written bytes.Buffer
	_ = writeRequest(&written, head, []byte("body"))
	valid := written.Bytes()
	f.Add(valid)
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0x7f})
	f.Fuzz(func(t *testing.T, data []byte) {
		br := bufio.NewReader(bytes.NewReader(data))
		var head wire.StreamHead
		if err := readMessage(br, &head); err != nil {
			return
		}
		body, err := readBody(br, int(head.GetCall().GetBodyBytes()), maxFrameBytes)
		if err == nil && len(body) != int(head.GetCall().GetBodyBytes()) {
			t.Fatalf("body of %d bytes", len(body))
		}
	})
}

// BenchmarkAnswer writes and reads one small answer.
func BenchmarkAnswer(b *testing.B) {
	enc, dec := newHeaderEncoder(), newHeaderDecoder()
	header := http.Header{"Content-Type": {"text/plain"}, "X-Stamp": {"0123456789abcdef"}}
	body := make([]byte, 400)
	b.ReportAllocs()
	for b.Loop() {
		var frames bytes.Buffer
		w := newAnswerWriter(&frames, enc, 0)
		w.WriteHead(call.Result{Status: http.StatusOK, Pressure: call.Pressure{Limit: 30, InFlight: 12}}, header)
		w.Write(body)
		w.finish(call.Result{Outcome: call.Answered})
		r := &answerReader{stream: &stream{headers: dec}, br: bufio.NewReader(&frames), hash: xxhash.New(), trailer: &kernel.Trailer{}}
		head, err := r.readHead(context.Background())
		if err != nil {
			b.Fatal(err)
		}
		if _, err := r.decodeAnswer(head); err != nil {
			b.Fatal(err)
		}
		if n, err := bufpool.Copy(io.Discard, r); err != nil || n != int64(len(body)) {
			b.Fatal(n, err)
		}
	}
}

// TestLostConnectionIsNotAMalformedFrame checks the error for a connection that is lost
// while a message is read. Only a lost connection makes the caller withdraw its attempt.
func TestLostConnectionIsNotAMalformedFrame(t *testing.T) {
	frame, err := appendMessage(nil, &wire.AnswerFrame{Kind: &wire.AnswerFrame_Head{Head: &wire.AnswerHead{Reason: "x"}}})
	if err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]struct {
		data    []byte
		end     error
		invalid bool
	}{
		"closed before the frame": {nil, io.EOF, false},
		"closed inside the frame": {frame[:len(frame)-1], io.EOF, false},
		"reset before the frame":  {nil, yamux.ErrConnectionReset, false},
		"reset inside the frame":  {frame[:2], yamux.ErrConnectionReset, false},
		"reset by the kernel":     {frame[:2], &net.OpError{Op: "read", Err: syscall.ECONNRESET}, false},
		"deadline":                {frame[:2], yamux.ErrTimeout, false},
		"malformed":               {[]byte{3, 0xff, 0xff, 0xff}, io.EOF, true},
		"too large":               {[]byte{0xff, 0xff, 0xff, 0xff, 0x7f}, io.EOF, true},
	} {
		r := bufio.NewReader(io.MultiReader(bytes.NewReader(c.data), iotest.ErrReader(c.end)))
		err := readMessage(r, &wire.AnswerFrame{})
		if err == nil || (errs.KindOf(err) == errs.Invalid) != c.invalid {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// TestChainRefusedCrossesTheWire checks that the mark of a failed answer reaches the source
// node, and that other answers have none.
func TestChainRefusedCrossesTheWire(t *testing.T) {
	for _, marked := range []bool{false, true} {
		var frames bytes.Buffer
		w := newAnswerWriter(&frames, newHeaderEncoder(), 0)
		if err := w.WriteHead(call.Result{Status: http.StatusInternalServerError, ChainRefused: marked}, http.Header{}); err != nil {
			t.Fatal(err)
		}
		w.finish(call.Result{Outcome: call.Answered})
		r := &answerReader{stream: &stream{headers: newHeaderDecoder()}, br: bufio.NewReader(&frames), hash: xxhash.New(), trailer: &kernel.Trailer{}}
		head, err := r.readHead(context.Background())
		if err != nil {
			t.Fatal(err)
		}
		ans, err := r.decodeAnswer(head)
		if err != nil || ans.ChainRefused != marked || ans.Status != http.StatusInternalServerError {
			t.Errorf("sent %v, got %+v, %v", marked, ans, err)
		}
	}
}

// decodeHead returns the answer of another node with this head.
func decodeHead(t *testing.T, res call.Result, h http.Header) (*kernel.Answer, error) {
	t.Helper()
	var frames bytes.Buffer
	w := newAnswerWriter(&frames, newHeaderEncoder(), 0)
	if err := w.WriteHead(res, h); err != nil {
		t.Fatal(err)
	}
	w.finish(call.Result{Outcome: call.Answered})
	r := &answerReader{stream: &stream{headers: newHeaderDecoder()}, br: bufio.NewReader(&frames), hash: xxhash.New(), trailer: &kernel.Trailer{}}
	head, err := r.readHead(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	return r.decodeAnswer(head)
}

// TestStatusThatIsNone guards against an answer of another node, perhaps of an older version, whose
// status is none of a final answer.
func TestStatusThatIsNone(t *testing.T) {
	for status, valid := range map[int]bool{0: false, 99: false, 100: false, 101: false, 200: true, 599: true, 999: true, 1000: false} {
		if _, err := decodeHead(t, call.Result{Status: status}, nil); valid != (err == nil) {
			t.Errorf("status %d: %v", status, err)
		}
	}
}
