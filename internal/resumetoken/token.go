// Package resumetoken makes and checks resume tokens. A token is self-contained and signed,
// so that any daemon that holds the keys can go on with a stream it never heard of. It
// opens nothing to another organisation than the one it names.
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

// Token is the content of a token.
type Token struct {
	RequestID    string `json:"rid"`
	Organisation string `json:"org"`
	// Endpoint is the name of the endpoint that was making the stream.
	Endpoint string          `json:"ep"`
	Stream   engine.StreamID `json:"sid"`
	// Offset is the index of the next chunk; Hash is that of the text before it.
	Offset int    `json:"off"`
	Hash   uint64 `json:"h"`
	// BodyHash is the hex SHA-256 of the request body, which the caller sends again.
	BodyHash string `json:"bh"`
	// Expires is in Unix seconds.
	Expires int64 `json:"exp"`
}

// The errors of Open.
var (
	ErrInvalid = errors.New("token: not signed by a known key")
	ErrExpired = errors.New("token: expired")
)

// strictBase64 has one spelling for each value, so that a token has one too.
var strictBase64 = base64.RawURLEncoding.Strict()

// maxTokenBytes bounds what Open decodes.
const maxTokenBytes = 4096

// Signer signs with the first key and accepts all of them, so that keys can be
// replaced without a cut.
type Signer struct {
	keys [][]byte
}

// NewSigner returns a signer over the given secret keys, the signing one first.
func NewSigner(keys ...[]byte) (*Signer, error) {
	if len(keys) == 0 {
		return nil, errors.New("token: no signing key")
	}
	return &Signer{keys: keys}, nil
}

// Sign returns the token for r.
func (s *Signer) Sign(r Token) string {
	payload, err := json.Marshal(r)
	if err != nil {
		// A struct of strings and numbers always encodes.
		panic(fmt.Sprintf("token: %v", err))
	}
	enc := strictBase64.EncodeToString(payload)
	return enc + "." + strictBase64.EncodeToString(mac(s.keys[0], enc))
}

// Validate checks a token's signature and expiry and returns its content.
func (s *Signer) Validate(now time.Time, t string) (Token, error) {
	if len(t) > maxTokenBytes {
		return Token{}, ErrInvalid
	}
	enc, sig, ok := strings.Cut(t, ".")
	if !ok {
		return Token{}, ErrInvalid
	}
	sum, err := strictBase64.DecodeString(sig)
	if err != nil || !s.signed(enc, sum) {
		return Token{}, ErrInvalid
	}
	return decode(now, enc)
}

func (s *Signer) signed(enc string, sum []byte) bool {
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
