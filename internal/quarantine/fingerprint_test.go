package quarantine

import (
	"testing"

	"github.com/matryer/is"
)

func TestFingerprintTellsCallerMethodHostURIAndBodyApart(t *testing.T) {
	is := is.New(t)
	is.Equal(Fingerprint("c", "GET", "h", "/p", []byte("b")), Fingerprint("c", "GET", "h", "/p", []byte("b")))
	seen := map[string]bool{}
	for _, f := range []string{
		Fingerprint("c", "GET", "h", "/p", []byte("b")),
		Fingerprint("other", "GET", "h", "/p", []byte("b")),
		Fingerprint("c", "POST", "h", "/p", []byte("b")),
		Fingerprint("c", "GET", "other", "/p", []byte("b")),
		Fingerprint("c", "GET", "h", "/other", []byte("b")),
		Fingerprint("c", "GET", "h", "/p", []byte("other")),
		Fingerprint("c", "GET", "h/", "p", []byte("b")), // the same text when joined
	} {
		is.True(!seen[f])
		seen[f] = true
	}
}
