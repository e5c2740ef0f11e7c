// Package wire holds the messages exchanged between nodes. The types are generated
// from the .proto files in this directory by make generate.
package wire

import (
	"google.golang.org/protobuf/proto"

	"github.com/dogwoodhatch/dogwoodhatch/errs"
)

// Decode unmarshals b into msg, or returns an error of kind errs.Invalid.
func Decode(b []byte, msg proto.Message) error {
	if err := proto.Unmarshal(b, msg); err != nil {
		return errs.Wrap(err, errs.Invalid, "check that the sender is a node of this system", "cannot decode message of %d bytes", len(b))
	}
	return nil
}

// Encode marshals msg. It returns nil if a string field of msg contains invalid
// UTF-8, which no field set by a node does.
func Encode(msg proto.Message) []byte {
	b, err := proto.Marshal(msg)
	if err != nil {
		return nil
	}
	return b
}
