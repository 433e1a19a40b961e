package operators

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"strings"

	"github.com/valyala/fasthttp"

	"rattanchute/internal/settings"
)

const bearerPrefix = "Bearer "

// operatorKey is an operator with the digest of the operator's key.
type operatorKey struct {
	name   string
	digest []byte
}

// newOperatorKeys returns the operators' keys. An operator whose digest is malformed has no
// access.
func newOperatorKeys(operators []settings.Operator) []operatorKey {
	keys := make([]operatorKey, 0, len(operators))
	for _, o := range operators {
		digest, err := hex.DecodeString(o.KeyHash)
		if err != nil || len(digest) != sha256.Size {
			continue
		}
		keys = append(keys, operatorKey{name: o.Name, digest: digest})
	}
	return keys
}

// authenticate returns the operator whose key the request carries. It compares all keys,
// each in constant time, so that the duration does not depend on the key presented.
func (h *Handler) authenticate(request *fasthttp.RequestHeader) (string, bool) {
	header := string(request.Peek(fasthttp.HeaderAuthorization))
	key, found := strings.CutPrefix(header, bearerPrefix)
	if !found {
		return "", false
	}
	digest := sha256.Sum256([]byte(key))
	name, ok := "", false
	for _, k := range h.keys {
		if subtle.ConstantTimeCompare(digest[:], k.digest) == 1 {
			name, ok = k.name, true
		}
	}
	return name, ok
}
