package peer

import (
	"net/http"
	"testing"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/testing/protocmp"
	"pgregory.net/rapid"

	"github.com/dogwoodhatch/dogwoodhatch/wire"
)

// roundTrip marshals m and unmarshals it into out.
func roundTrip[M proto.Message](t *rapid.T, m, out M) M {
	b, err := proto.Marshal(m)
	if err != nil {
		t.Fatal(err)
	}
	if err := proto.Unmarshal(b, out); err != nil {
		t.Fatal(err)
	}
	return out
}

func drawHeader(t *rapid.T) http.Header {
	h := http.Header{}
	for range rapid.IntRange(0, 6).Draw(t, "lines") {
		name := rapid.SampledFrom([]string{"Accept", "X-A", "X-B", "Stamp", "Cookie"}).Draw(t, "name")
		h[name] = append(h[name], rapid.OneOf(rapid.StringMatching(`[a-c]{0,3}`), rapid.Just("caf\xe9")).Draw(t, "value"))
	}
	return h
}

// TestCallHeadsRoundTrip sends many call heads over one stream and checks that each
// is restored unchanged.
func TestCallHeadsRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		enc := contextEncoder{}
		var dec contextDecoder
		for range rapid.IntRange(1, 90).Draw(t, "calls") {
			h := &wire.CallHead{
				Service: rapid.StringMatching(`[ab]?`).Draw(t, "service"), Class: rapid.StringMatching(`[a-z]{0,2}`).Draw(t, "class"), Priority: rapid.Uint32Range(0, 3).Draw(t, "priority"),
				Target: "/x", RequestId: rapid.SampledFrom([]string{"", "id", "AA00bb11cc22dd33", "aa00bb11cc22dd33", "aa00bb11cc22dd33.0123456789abcdef", "aa00bb11cc22dd3.00123456789abcdef", "aa00bb11cc22dd33x0123456789abcdef"}).Draw(t, "id"),
				Headers: EncodeHeader(drawHeader(t)), Cohort: 7, Repeat: true,
			}
			got := roundTrip(t, enc.encode(h), &wire.CallHead{})
			if err := dec.decode(got); err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(h, got, protocmp.Transform()); diff != "" {
				t.Fatal(diff)
			}
		}
	})
}

func TestHeadersRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		enc, dec := newHeaderEncoder(), newHeaderDecoder()
		for range rapid.IntRange(1, 60).Draw(t, "answers") {
			h := drawHeader(t)
			sent := roundTrip(t, &wire.AnswerHead{Headers: enc.encode(h)}, &wire.AnswerHead{})
			got, err := dec.decode(sent.GetHeaders())
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(h, got); diff != "" {
				t.Fatal(diff)
			}
		}
	})
}

func TestUnknownPositionsAreRejected(t *testing.T) {
	var dec contextDecoder
	if err := dec.decode(&wire.CallHead{ContextAt: 1}); err == nil {
		t.Error("a context that was not sent was accepted")
	}
	if err := dec.decode(&wire.CallHead{}); err == nil {
		t.Error("a call without a context was accepted")
	}
	for _, line := range []*wire.Header{{LineAt: 1}, {NameAt: 1, Value: []byte("x")}} {
		if _, err := newHeaderDecoder().decode([]*wire.Header{line}); err == nil {
			t.Errorf("%v was accepted", line)
		}
	}
}

// TestRepeatedCallHeadIsSmall bounds the size of the head of a small call that was
// sent before on the same stream.
func TestRepeatedCallHeadIsSmall(t *testing.T) {
	h := &wire.CallHead{
		AttemptId: make([]byte, 16), Service: "quotedesk", Class: "category-list", Method: "GET", Target: "/categories/12", TimeoutMs: 700, Depth: 4,
		Headers: EncodeHeader(http.Header{"User-Agent": {"client/1.0"}, "Accept": {"*/*"}}), SourceNode: "vm-1-0123abcd", Host: "quotedesk.example",
		RequestId: "aa00bb11cc22dd33.0123456789abcdef.0123456789abcdef",
	}
	enc := contextEncoder{}
	first := proto.Size(enc.encode(h))
	second := proto.Size(enc.encode(h))
	if second > 80 || second >= first {
		t.Fatalf("%d bytes, then %d", first, second)
	}
}
