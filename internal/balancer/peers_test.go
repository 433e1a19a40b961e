package balancer

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// TestTextFormsRoundTrip covers arbitrary names and numbers.
func TestTextFormsRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.NewRelaxed(t)
		l := Load{rapid.String().Draw(t, "fleet"), rapid.String().Draw(t, "endpoint"),
			rapid.Int().Draw(t, "n"), rapid.Int().Draw(t, "pending"), rapid.Int().Draw(t, "memory")}
		text, err := l.MarshalText()
		is.NoErr(err)
		var decodedLoad Load
		is.NoErr(decodedLoad.UnmarshalText(text))
		is.Equal(decodedLoad, l)

		r := Prefill{Fleet: l.Fleet, Endpoint: l.Endpoint}
		for range rapid.IntRange(0, 4).Draw(t, "prefixes") {
			r.Prefixes = append(r.Prefixes, Prefix{rapid.Uint64().Draw(t, "key"), rapid.IntRange(0, 1<<30).Draw(t, "tokens")})
		}
		text, err = r.MarshalText()
		is.NoErr(err)
		var decodedPrefill Prefill
		is.NoErr(decodedPrefill.UnmarshalText(text))
		is.Equal(decodedPrefill, r)
	})
}

// FuzzTextForms checks that no bytes in a datagram cause a panic.
func FuzzTextForms(f *testing.F) {
	f.Add([]byte("fleet i-1 1 2 3"))
	f.Add([]byte("fleet i-1 zz 5"))
	f.Fuzz(func(_ *testing.T, text []byte) {
		_ = new(Load).UnmarshalText(text)
		_ = new(Prefill).UnmarshalText(text)
	})
}
