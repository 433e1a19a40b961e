// Package resumetoken creates and validates resume tokens. A token is self-contained and signed, so
// that any daemon that has the keys can continue a stream that it knows nothing about. A token
// names its organisation; whoever validates it must reject it for any other.
package resumetoken

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"time"

	"rattanchute/internal/engine"
)

// Token is the content of a resume token.
type Token struct {
	RequestID    string `json:"rid"`
	Organisation string `json:"org"`
	// Endpoint is the name of the endpoint that was generating the stream.
	Endpoint string          `json:"ep"`
	Stream   engine.StreamID `json:"sid"`
	// Version is that of the endpoints at which the stream may continue; nil before its first chunk.
	Version *string `json:"ver,omitempty"`
	// Offset is the index of the next chunk; Hash is the hash of the text before it. Both are zero
	// if the hash is not known.
	Offset int    `json:"off"`
	Hash   uint64 `json:"h"`
	// BodyHash is the hex SHA-256 of the request body. The caller has to send the same body again.
	BodyHash string `json:"bh"`
	// Expires is the expiry time in Unix seconds.
	Expires int64 `json:"exp"`
}

// The errors of Validate.
var (
	ErrInvalid = errors.New("resume token: malformed or not signed with a known key")
	ErrExpired = errors.New("resume token: expired")
)

// strictBase64 accepts only one encoding of each value, so that a token has only one valid form.
var strictBase64 = base64.RawURLEncoding.Strict()

// maxTokenBytes bounds what Validate decodes.
const maxTokenBytes = 4096

// Signer signs tokens with the first key and accepts tokens signed with any of its keys, so that a
// key can be replaced while the tokens signed with it stay valid.
type Signer struct {
	keys [][]byte
}

// NewSigner returns a signer with the given secret keys, of which there must be at least one. The
// first key signs.
func NewSigner(keys ...[]byte) (*Signer, error) {
	if len(keys) == 0 {
		return nil, errors.New("resume token: no signing key")
	}
	return &Signer{keys: keys}, nil
}

// Sign returns r in the form that Validate accepts: the encoded content and its signature.
func (s *Signer) Sign(r Token) string {
	payload, err := json.Marshal(r)
	if err != nil {
		// A struct of strings and numbers always encodes.
		panic(fmt.Sprintf("token: %v", err))
	}
	enc := strictBase64.EncodeToString(payload)
	return enc + "." + strictBase64.EncodeToString(mac(s.keys[0], enc))
}

// Validate checks the signature and the expiry of an encoded token and returns its content. The
// error is ErrInvalid or ErrExpired.
func (s *Signer) Validate(now time.Time, t string) (Token, error) {
	if len(t) > maxTokenBytes {
		return Token{}, ErrInvalid
	}
	enc, sig, ok := strings.Cut(t, ".")
	if !ok {
		return Token{}, ErrInvalid
	}
	sum, err := strictBase64.DecodeString(sig)
	if err != nil || !s.isSigned(enc, sum) {
		return Token{}, ErrInvalid
	}
	return decode(now, enc)
}

func (s *Signer) isSigned(enc string, sum []byte) bool {
	for _, k := range s.keys {
		if hmac.Equal(mac(k, enc), sum) {
			return true
		}
	}
	return false
}

func decode(now time.Time, enc string) (Token, error) {
	payload, err := strictBase64.DecodeString(enc)
	if err != nil {
		return Token{}, ErrInvalid
	}
	var r Token
	if err := json.Unmarshal(payload, &r); err != nil {
		return Token{}, ErrInvalid
	}
	if now.Unix() >= r.Expires {
		return Token{}, ErrExpired
	}
	return r, nil
}

func mac(key []byte, text string) []byte {
	h := hmac.New(sha256.New, key)
	h.Write([]byte(text))
	return h.Sum(nil)
}
