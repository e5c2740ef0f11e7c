package config

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/dogwoodhatch/dogwoodhatch/errs"
	"github.com/dogwoodhatch/dogwoodhatch/profile"
)

// Records travel between nodes without what only the publisher needs, and
// deflated, so that a usual profile fits one datagram.
const (
	plainMark   = 0
	deflateMark = 1

	// minDeflateBytes is the size below which deflating gains nothing.
	minDeflateBytes = 256
)

// pack returns the form of a store value that travels between nodes. An empty
// value, which stands for a deletion, stays empty.
func pack(value []byte) []byte {
	if len(value) == 0 {
		return nil
	}
	compact := profile.Compact(value)
	if len(compact) < minDeflateBytes {
		return append([]byte{plainMark}, compact...)
	}
	var buf bytes.Buffer
	buf.WriteByte(deflateMark)
	w, err := flate.NewWriter(&buf, flate.BestCompression)
	if err != nil {
		return append([]byte{plainMark}, compact...)
	}
	if _, err = w.Write(compact); err == nil {
		err = w.Close()
	}
	if err != nil {
		return append([]byte{plainMark}, compact...)
	}
	return buf.Bytes()
}

// unpack returns the value of a record that pack made. The error is of kind
// errs.Invalid.
func unpack(packed []byte) ([]byte, error) {
	if len(packed) == 0 {
		return nil, nil
	}
	switch packed[0] {
	case plainMark:
		return packed[1:], nil
	case deflateMark:
		value, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed[1:])), maxRecordBytes))
		if err != nil {
			return nil, errs.Wrap(err, errs.Invalid, "publish the record again", "record cannot be inflated")
		}
		return value, nil
	}
	return nil, errs.New(errs.Invalid, "upgrade this node", "record in the unknown form %d", packed[0])
}

const maxRecordBytes = 1 << 20 // of one record when inflated
