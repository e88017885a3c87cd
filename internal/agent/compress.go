package agent

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/cockroachdb/errors"
)

// Each change of an item is sent to every process, and most of an item's bytes are repeated names and keys. The process that publishes
// an item compresses its body once; all others store and forward the compressed body.

const (
	encodingPlain   = 0
	encodingDeflate = 1
	// minCompressSize is the body size from which compression is worthwhile.
	minCompressSize = 256
	// maxItemSize bounds the decompressed size of an item, in bytes.
	maxItemSize = 64 << 20
)

var errCompression = errors.New("agent: item has an unknown or invalid encoding: only run adjacent versions together")

// compress returns a body with its encoding byte, compressed if that makes it smaller.
func compress(body []byte) []byte {
	if len(body) >= minCompressSize {
		b := bytes.NewBuffer(make([]byte, 0, len(body)/2))
		b.WriteByte(encodingDeflate)
		// These cannot fail: the level is valid, and writes to a buffer do not fail.
		w, _ := flate.NewWriter(b, flate.BestSpeed)
		_, _ = w.Write(body)
		_ = w.Close()
		if b.Len() <= len(body) {
			return b.Bytes()
		}
	}
	return append([]byte{encodingPlain}, body...)
}

// decompress returns the body that compress encoded.
func decompress(compressed []byte) ([]byte, error) {
	switch {
	case len(compressed) == 0:
		return nil, errCompression
	case compressed[0] == encodingPlain:
		return compressed[1:], nil
	case compressed[0] != encodingDeflate:
		return nil, errCompression
	}
	body, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(compressed[1:])), maxItemSize+1))
	if err == nil && len(body) > maxItemSize {
		err = errors.Newf("item is larger than %d bytes", maxItemSize)
	}
	return body, errors.Mark(err, errCompression)
}
