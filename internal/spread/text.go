package spread

import (
	"bytes"
	"fmt"
	"io"

	"github.com/klauspost/compress/gzip"
)

// compress packs a configuration text for sending.
func compress(text []byte) ([]byte, error) {
	var out bytes.Buffer
	w := gzip.NewWriter(&out)
	if _, err := w.Write(text); err != nil {
		return nil, fmt.Errorf("compress configuration: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("compress configuration: %w", err)
	}
	return out.Bytes(), nil
}

// decompress unpacks a configuration text and refuses one beyond MaxTextBytes.
func decompress(packed []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(packed))
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
