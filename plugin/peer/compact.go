package peer

import (
	"encoding/hex"
	"net/http"
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"

	"github.com/dogwoodhatch/dogwoodhatch/bufpool"
	"github.com/dogwoodhatch/dogwoodhatch/errs"
	"github.com/dogwoodhatch/dogwoodhatch/wire"
)

// Bounds of what one stream remembers in each direction.
const (
	maxContexts     = 64
	maxNames        = 64
	maxLines        = 64
	maxLinesPerName = 2 // a header whose value changes each time fills no more
)

// headerEncoder shortens the headers that were sent before on a stream. The
// decoder at the other end keeps the same tables.
type headerEncoder struct {
	names   map[string]uint32
	lines   map[[2]string]uint32
	perName map[string]int
}

func newHeaderEncoder() *headerEncoder {
	return &headerEncoder{names: map[string]uint32{}, lines: map[[2]string]uint32{}, perName: map[string]int{}}
}

func (e *headerEncoder) encode(h http.Header) []*wire.Header {
	list := EncodeHeader(h)
	for _, line := range list {
		key := [2]string{line.Name, line.Value}
		if at, ok := e.lines[key]; ok {
			*line = wire.Header{LineAt: at}
			continue
		}
		if e.perName[line.Name] < maxLinesPerName && len(e.lines) < maxLines {
			e.perName[line.Name]++
			e.lines[key] = uint32(len(e.lines) + 1)
		}
		if at, ok := e.names[line.Name]; ok {
			*line = wire.Header{NameAt: at, Value: line.Value}
		} else if len(e.names) < maxNames {
			e.names[line.Name] = uint32(len(e.names) + 1)
		}
	}
	return list
}

// headerDecoder restores headers.
type headerDecoder struct {
	names   []string
	lines   [][2]string
	perName map[string]int
}

func newHeaderDecoder() *headerDecoder { return &headerDecoder{perName: map[string]int{}} }

func (d *headerDecoder) decode(list []*wire.Header) (http.Header, error) {
	h := make(http.Header, len(list))
	for _, line := range list {
		name, value, err := d.line(line)
		if err != nil {
			return nil, err
		}
		h[name] = append(h[name], value)
	}
	return h, nil
}

func (d *headerDecoder) line(line *wire.Header) (name, value string, err error) {
	if at := int(line.GetLineAt()); at > 0 {
		if at > len(d.lines) {
			return "", "", errPosition("header line", at)
		}
		return d.lines[at-1][0], d.lines[at-1][1], nil
	}
	name, value = line.GetName(), line.GetValue()
	if at := int(line.GetNameAt()); at > len(d.names) {
		return "", "", errPosition("header name", at)
	} else if at > 0 {
		name = d.names[at-1]
	}
	if d.perName[name] < maxLinesPerName && len(d.lines) < maxLines {
		d.perName[name]++
		d.lines = append(d.lines, [2]string{name, value})
	}
	if line.GetNameAt() == 0 && len(d.names) < maxNames {
		d.names = append(d.names, name)
	}
	return name, value, nil
}

func errPosition(what string, at int) error {
	return errs.New(errs.Invalid, "check that both nodes speak the node protocol", "%s %d was not sent on this stream", what, at)
}

// contextEncoder shortens the heads of the calls on a stream.
type contextEncoder map[string]uint32 // position by encoded context

// encode returns the head as it travels.
func (e contextEncoder) encode(h *wire.CallHead) *wire.CallHead {
	c := &wire.CallContext{
		Service: h.Service, Class: h.Class, Priority: h.Priority, Idempotent: h.Idempotent, Method: h.Method, Headers: h.Headers,
		SourceNode: h.SourceNode, Origin: h.Origin, ObjectiveMs: h.ObjectiveMs, Host: h.Host,
	}
	out := &wire.CallHead{
		AttemptId: h.AttemptId, ChainId: h.ChainId, TimeoutMs: h.TimeoutMs, Retries: h.Retries, Target: h.Target, BodyBytes: h.BodyBytes,
		IdempotencyKey: h.IdempotencyKey, Depth: h.Depth, StateRevision: h.StateRevision, RequestId: h.RequestId, Cohort: h.Cohort, Repeat: h.Repeat,
	}
	if packed, ok := packID(h.RequestId); ok {
		out.RequestId = ""
		out.PackedRequestId = packed
	}
	scratch := bufpool.Get()
	defer bufpool.Put(scratch)
	key, err := proto.MarshalOptions{Deterministic: true}.MarshalAppend((*scratch)[:0], c)
	if at, ok := e[string(key)]; ok && err == nil {
		out.ContextAt = at
		return out
	}
	if len(e) < maxContexts && err == nil {
		e[string(key)] = uint32(len(e) + 1)
	}
	out.Context = c
	return out
}

// contextDecoder restores the heads of calls.
type contextDecoder []*wire.CallContext

// decode fills the fields of a head that travelled in its context.
func (d *contextDecoder) decode(h *wire.CallHead) error {
	c := h.Context
	if at := int(h.ContextAt); at > len(*d) {
		return errPosition("call context", at)
	} else if at > 0 {
		c = (*d)[at-1]
	} else if len(*d) < maxContexts {
		*d = append(*d, c)
	}
	if c == nil {
		return errs.New(errs.Invalid, "check that both nodes speak the node protocol", "call without a context")
	}
	h.Service, h.Class, h.Priority, h.Idempotent, h.Method, h.Headers = c.Service, c.Class, c.Priority, c.Idempotent, c.Method, c.Headers
	h.SourceNode, h.Origin, h.ObjectiveMs, h.Host = c.SourceNode, c.Origin, c.ObjectiveMs, c.Host
	if len(h.PackedRequestId) > 0 {
		h.RequestId = unpackID(h.PackedRequestId)
	}
	h.Context, h.ContextAt, h.PackedRequestId = nil, 0, nil
	return nil
}

// groupBytes is the length of one group of a packed id: 16 hexadecimal digits.
const groupBytes = 8

// packID packs an id made of groups of 16 lower case hexadecimal digits that are
// separated by dots.
func packID(id string) ([]byte, bool) {
	if len(id) < 2*groupBytes || (len(id)+1)%(2*groupBytes+1) != 0 || strings.ToLower(id) != id {
		return nil, false
	}
	var packed []byte
	for i, group := range strings.Split(id, ".") {
		if len(group) != 2*groupBytes {
			return nil, false
		}
		var err error
		if packed, err = hex.AppendDecode(packed, []byte(group)); err != nil || len(packed) != (i+1)*groupBytes {
			return nil, false
		}
	}
	return packed, true
}

func unpackID(packed []byte) string {
	id := make([]byte, 0, len(packed)/groupBytes*(2*groupBytes+1))
	for group := range slices.Chunk(packed, groupBytes) {
		if len(id) > 0 {
			id = append(id, '.')
		}
		id = hex.AppendEncode(id, group)
	}
	return string(id)
}
