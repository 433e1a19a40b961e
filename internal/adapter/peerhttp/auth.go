// Package peerhttp carries messages between daemons: JSON over HTTP, each request and
// answer authenticated with a secret that all daemons share.
package peerhttp

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"strconv"
	"strings"
	"time"
)

// headerAuth carries "<unix milliseconds> <hex HMAC-SHA-256>" on a request and the
// hex HMAC alone on an answer.
const headerAuth = "X-Peer-Auth"

// MaxClockSkew is how far the clocks of two daemons may be apart.
const MaxClockSkew = 5 * time.Minute

// MinSecretBytes is the length of the shortest secret accepted.
const MinSecretBytes = 16

// ErrSecretTooShort is returned for a secret below MinSecretBytes.
var ErrSecretTooShort = errors.New("peerhttp: shared secret too short")

// Secret authenticates messages between daemons.
type Secret []byte

// Check tells whether the secret can be used.
func (s Secret) Check() error {
	if len(s) < MinSecretBytes {
		return ErrSecretTooShort
	}
	return nil
}

// signRequest returns the header for a request and the signature in it.
func (s Secret) signRequest(now time.Time, path string, body []byte) (header, signature string) {
	millis := strconv.FormatInt(now.UnixMilli(), 10)
	signature = s.sign("request", path, millis, body)
	return millis + " " + signature, signature
}

// verifyRequest returns the request's signature if the header is genuine and recent.
func (s Secret) verifyRequest(now time.Time, header, path string, body []byte) (signature string, ok bool) {
	millis, signature, found := strings.Cut(header, " ")
	if !found || !hmac.Equal([]byte(signature), []byte(s.sign("request", path, millis, body))) {
		return "", false
	}
	at, err := strconv.ParseInt(millis, 10, 64)
	if err != nil {
		return "", false
	}
	return signature, now.Sub(time.UnixMilli(at)).Abs() <= MaxClockSkew
}

// signAnswer binds an answer to the request it answers.
func (s Secret) signAnswer(request string, status int, body []byte) string {
	return s.sign("answer", request, strconv.Itoa(status), body)
}

func (s Secret) verifyAnswer(header, request string, status int, body []byte) bool {
	return hmac.Equal([]byte(header), []byte(s.signAnswer(request, status, body)))
}

func (s Secret) sign(direction, about, detail string, body []byte) string {
	mac := hmac.New(sha256.New, s)
	for _, part := range []string{direction, about, detail} {
		mac.Write([]byte(part))
		mac.Write([]byte{0})
	}
	mac.Write(body)
	return hex.EncodeToString(mac.Sum(nil))
}
