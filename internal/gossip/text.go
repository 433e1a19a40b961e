package gossip

import (
	"bytes"
	"fmt"
	"io"

	"github.com/klauspost/compress/gzip"
)

// Compress compresses a configuration text with gzip.
func Compress(text []byte) []byte {
	var out bytes.Buffer
	w := gzip.NewWriter(&out)
	// Writes to a bytes.Buffer do not fail.
	_, _ = w.Write(text)
	_ = w.Close()
	return out.Bytes()
}

// decompress decompresses a configuration text. It rejects texts larger than MaxTextBytes.
func decompress(compressed []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(compressed))
	if err != nil {
		return nil, fmt.Errorf("decompress configuration: %w", err)
	}
	text, err := io.ReadAll(io.LimitReader(r, MaxTextBytes+1))
	if err != nil {
		return nil, fmt.Errorf("decompress configuration: %w", err)
	}
	if len(text) > MaxTextBytes {
		return nil, fmt.Errorf("decompress configuration: larger than %d bytes", MaxTextBytes)
	}
	return text, nil
}
