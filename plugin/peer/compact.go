package peer

import (
	"encoding/hex"
	"net/http"
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"

	"github.com/dogwoodhatch/dogwoodhatch/bufpool"
	"github.com/dogwoodhatch/dogwoodhatch/errs"
	"github.com/dogwoodhatch/dogwoodhatch/httphead"
	"github.com/dogwoodhatch/dogwoodhatch/wire"
)

// Limits of the tables that a stream keeps in each direction.
const (
	maxContexts        = 64
	maxHeaderNames     = 64
	maxHeaderLines     = 64
	maxValuesPerHeader = 2 // keeps a header whose value changes each time from filling the table
)

// headerEncoder replaces header names and lines that were sent before on a stream by
// their positions. The decoder at the other end keeps the same tables.
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
		key := [2]string{line.Name, string(line.Value)}
		if position, ok := e.lines[key]; ok {
			*line = wire.Header{LineAt: position}
			continue
		}
		if e.perName[line.Name] < maxValuesPerHeader && len(e.lines) < maxHeaderLines {
			e.perName[line.Name]++
			e.lines[key] = uint32(len(e.lines) + 1)
		}
		if position, ok := e.names[line.Name]; ok {
			*line = wire.Header{NameAt: position, Value: line.Value}
		} else if len(e.names) < maxHeaderNames {
			e.names[line.Name] = uint32(len(e.names) + 1)
		}
	}
	return list
}

// headerDecoder restores the headers that a headerEncoder sent.
type headerDecoder struct {
	names     []string
	lines     [][2]string
	textBytes int // of names and lines
	perName   map[string]int
}

func newHeaderDecoder() *headerDecoder { return &headerDecoder{perName: map[string]int{}} }

func (d *headerDecoder) decode(list []*wire.Header) (http.Header, error) {
	h := make(http.Header, len(list))
	for _, line := range list {
		name, value, err := d.decodeLine(line)
		if err != nil {
			return nil, err
		}
		if !httphead.ValidName(name) {
			return nil, errs.New(errs.Invalid, "upgrade the other node", "an answer with the header name %q", name)
		}
		h[name] = append(h[name], value)
	}
	return h, nil
}

func (d *headerDecoder) decodeLine(line *wire.Header) (name, value string, err error) {
	if position := int(line.GetLineAt()); position > 0 {
		if position > len(d.lines) {
			return "", "", errUnknownPosition("header line", position)
		}
		return d.lines[position-1][0], d.lines[position-1][1], nil
	}
	name, value = line.GetName(), string(line.GetValue())
	if position := int(line.GetNameAt()); position > len(d.names) {
		return "", "", errUnknownPosition("header name", position)
	} else if position > 0 {
		name = d.names[position-1]
	}
	if d.perName[name] < maxValuesPerHeader && len(d.lines) < maxHeaderLines {
		d.perName[name]++
		d.lines = append(d.lines, [2]string{name, value})
		d.textBytes += len(name) + len(value)
	}
	if line.GetNameAt() == 0 && len(d.names) < maxHeaderNames {
		d.names = append(d.names, name)
		d.textBytes += len(name)
	}
	return name, value, nil
}

// errUnknownPosition returns the error for a position that is not in the table of the
// decoder. what names the kind of entry.
func errUnknownPosition(what string, position int) error {
	return errs.New(errs.Invalid, "check that both nodes speak the node protocol", "%s %d was not sent on this stream", what, position)
}

// contextEncoder replaces the context of a call by its position if the same context
// was sent before on the stream.
type contextEncoder map[string]uint32 // position, from 1, by encoded context

// encode returns the call head as it is sent.
func (e contextEncoder) encode(h *wire.CallHead) *wire.CallHead {
	callContext := &wire.CallContext{
		Service: h.Service, Class: h.Class, Priority: h.Priority, Idempotent: h.Idempotent, Method: h.Method, Headers: h.Headers,
		SourceNode: h.SourceNode, Origin: h.Origin, ObjectiveMs: h.ObjectiveMs, Host: h.Host,
	}
	out := &wire.CallHead{
		AttemptId: h.AttemptId, ChainId: h.ChainId, TimeoutMs: h.TimeoutMs, Retries: h.Retries, Target: h.Target, BodyBytes: h.BodyBytes,
		IdempotencyKey: h.IdempotencyKey, Depth: h.Depth, StateRevision: h.StateRevision, StateEraPlus_1: h.StateEraPlus_1, RequestId: h.RequestId, Cohort: h.Cohort, Repeat: h.Repeat, Announcement: h.Announcement, Team: h.Team,
	}
	if packed, ok := packRequestID(h.RequestId); ok {
		out.RequestId = ""
		out.PackedRequestId = packed
	}
	scratch := bufpool.Get()
	defer bufpool.Put(scratch)
	key, err := proto.MarshalOptions{Deterministic: true}.MarshalAppend((*scratch)[:0], callContext)
	if position, ok := e[string(key)]; ok && err == nil {
		out.ContextAt = position
		return out
	}
	// The stream of a large head is not used again.
	if len(e) < maxContexts && err == nil && len(key) <= largeHeadBytes {
		e[string(key)] = uint32(len(e) + 1)
	}
	out.Context = callContext
	return out
}

// contextDecoder restores the call heads that a contextEncoder sent.
type contextDecoder []*wire.CallContext

// decode fills in the fields of a call head that were sent in its context.
func (d *contextDecoder) decode(h *wire.CallHead) error {
	callContext := h.Context
	if position := int(h.ContextAt); position > len(*d) {
		return errUnknownPosition("call context", position)
	} else if position > 0 {
		callContext = (*d)[position-1]
	} else if len(*d) < maxContexts {
		*d = append(*d, callContext)
	}
	if callContext == nil {
		return errs.New(errs.Invalid, "check that both nodes speak the node protocol", "call has no context")
	}
	h.Service, h.Class, h.Priority, h.Idempotent, h.Method, h.Headers = callContext.Service, callContext.Class, callContext.Priority, callContext.Idempotent, callContext.Method, callContext.Headers
	h.SourceNode, h.Origin, h.ObjectiveMs, h.Host = callContext.SourceNode, callContext.Origin, callContext.ObjectiveMs, callContext.Host
	if len(h.PackedRequestId) > 0 {
		h.RequestId = unpackRequestID(h.PackedRequestId)
	}
	h.Context, h.ContextAt, h.PackedRequestId = nil, 0, nil
	return nil
}

// packedGroupBytes is the packed length of one group of a request id: 16 hexadecimal
// digits.
const packedGroupBytes = 8

// packRequestID packs a request id that consists of groups of 16 lower case
// hexadecimal digits separated by dots. It reports false for any other id.
func packRequestID(id string) ([]byte, bool) {
	if len(id) < 2*packedGroupBytes || (len(id)+1)%(2*packedGroupBytes+1) != 0 || strings.ToLower(id) != id {
		return nil, false
	}
	var packed []byte
	for i, group := range strings.Split(id, ".") {
		if len(group) != 2*packedGroupBytes {
			return nil, false
		}
		var err error
		if packed, err = hex.AppendDecode(packed, []byte(group)); err != nil || len(packed) != (i+1)*packedGroupBytes {
			return nil, false
		}
	}
	return packed, true
}

func unpackRequestID(packed []byte) string {
	id := make([]byte, 0, len(packed)/packedGroupBytes*(2*packedGroupBytes+1))
	for group := range slices.Chunk(packed, packedGroupBytes) {
		if len(id) > 0 {
			id = append(id, '.')
		}
		id = hex.AppendEncode(id, group)
	}
	return string(id)
}
