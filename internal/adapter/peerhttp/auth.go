// Package peerhttp is the transport for messages between daemons: JSON over HTTP. Requests
// and responses carry an HMAC with a secret that all daemons share. Only error responses to
// requests that could not be read or authenticated carry none; the client rejects them.
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

// headerAuth holds "<unix milliseconds> <hex HMAC-SHA-256>" on a request and the hex
// HMAC alone on a response.
const headerAuth = "X-Peer-Auth"

// MaxClockSkew is the largest accepted difference between the time in a request and the clock of
// the daemon that receives it.
const MaxClockSkew = 5 * time.Minute

// MinSecretBytes is the minimum length of a secret.
const MinSecretBytes = 16

// ErrSecretTooShort is returned for a secret shorter than MinSecretBytes.
var ErrSecretTooShort = errors.New("peerhttp: shared secret too short")

// Secret is the key with which daemons authenticate their messages to each other.
type Secret []byte

// Check returns ErrSecretTooShort if the secret is too short to be used.
func (s Secret) Check() error {
	if len(s) < MinSecretBytes {
		return ErrSecretTooShort
	}
	return nil
}

// signRequest returns the value of headerAuth for a request and the signature in it.
func (s Secret) signRequest(now time.Time, path string, body []byte) (header, signature string) {
	millis := strconv.FormatInt(now.UnixMilli(), 10)
	signature = s.sign("request", path, millis, body)
	return millis + " " + signature, signature
}

// plausible reports whether the header of a request may be that of a peer: it has the form of a signature and the time of now.
// The signature itself covers the body, which has not been read then.
func plausible(now time.Time, header string) bool {
	millis, signature, _ := strings.Cut(header, " ")
	at, err := strconv.ParseInt(millis, 10, 64)
	return err == nil && len(signature) == hex.EncodedLen(sha256.Size) && now.Sub(time.UnixMilli(at)).Abs() <= MaxClockSkew
}

// verifyRequest returns the request's signature, and whether the signature is valid and the
// header's time is within MaxClockSkew of now.
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

// signResponse signs a response together with the signature of its request, so that a
// response cannot be replayed for another request.
func (s Secret) signResponse(request string, status int, body []byte) string {
	return s.sign("answer", request, strconv.Itoa(status), body)
}

func (s Secret) verifyResponse(header, request string, status int, body []byte) bool {
	return hmac.Equal([]byte(header), []byte(s.signResponse(request, status, body)))
}

func (s Secret) sign(direction, subject, detail string, body []byte) string {
	mac := hmac.New(sha256.New, s)
	for _, part := range []string{direction, subject, detail} {
		mac.Write([]byte(part))
		mac.Write([]byte{0})
	}
	mac.Write(body)
	return hex.EncodeToString(mac.Sum(nil))
}
