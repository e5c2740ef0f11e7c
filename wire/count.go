package wire

import "google.golang.org/protobuf/encoding/protowire"

// Numbers of the fields that lead to the headers of a call.
const (
	fieldStreamHeadCall     = 1
	fieldCallHeadHeaders    = 11
	fieldCallHeadContext    = 23
	fieldCallContextHeaders = 6
	fieldAnswerFrameHead    = 1
	fieldAnswerHeadHeaders  = 4
)

// CountCallHeaders returns the number of headers in an encoded StreamHead, without decoding it: a
// decoded header takes many times its size.
func CountCallHeaders(streamHead []byte) int {
	n := 0
	eachMessage(streamHead, fieldStreamHeadCall, func(call []byte) {
		eachMessage(call, fieldCallHeadHeaders, func([]byte) { n++ })
		eachMessage(call, fieldCallHeadContext, func(context []byte) {
			eachMessage(context, fieldCallContextHeaders, func([]byte) { n++ })
		})
	})
	return n
}

// CountAnswerHeaders is CountCallHeaders for an encoded AnswerFrame.
func CountAnswerHeaders(answerFrame []byte) int {
	n := 0
	eachMessage(answerFrame, fieldAnswerFrameHead, func(head []byte) {
		eachMessage(head, fieldAnswerHeadHeaders, func([]byte) { n++ })
	})
	return n
}

// eachMessage calls f with the content of each field with a number that holds a message, up to
// the first malformed field.
func eachMessage(b []byte, number protowire.Number, f func(content []byte)) {
	for len(b) > 0 {
		num, kind, n := protowire.ConsumeTag(b)
		if n < 0 {
			return
		}
		b = b[n:]
		if num == number && kind == protowire.BytesType {
			content, n := protowire.ConsumeBytes(b)
			if n < 0 {
				return
			}
			f(content)
			b = b[n:]
			continue
		}
		if n = protowire.ConsumeFieldValue(num, kind, b); n < 0 {
			return
		}
		b = b[n:]
	}
}

// IsCall reports whether an encoded StreamHead that begins with b holds a call.
func IsCall(b byte) bool { return b == fieldStreamHeadCall<<3|byte(protowire.BytesType) }
