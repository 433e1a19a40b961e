package quarantine

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
)

// fingerprintBytes is the length of the digest in a fingerprint: long enough that no caller finds a second
// request with the same one.
const fingerprintBytes = 16

// Fingerprint returns a text that is the same for a request and its repetitions, at all hosts: for requests
// with the same caller, method, host, URI and body. The caller is the name by which endpoints know it.
func Fingerprint(caller, method, host, uri string, body []byte) string {
	digest := sha256.New()
	for _, field := range [][]byte{[]byte(caller), []byte(method), []byte(host), []byte(uri), body} {
		// The length keeps apart requests whose fields are the same text only when joined.
		digest.Write(binary.BigEndian.AppendUint64(nil, uint64(len(field))))
		digest.Write(field)
	}
	return base64.RawURLEncoding.EncodeToString(digest.Sum(nil)[:fingerprintBytes])
}
