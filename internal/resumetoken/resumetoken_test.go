package resumetoken

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"
)

var now = time.Unix(1_000_000, 0)

func newSigner(t *testing.T, keys ...string) *Signer {
	t.Helper()
	raw := make([][]byte, len(keys))
	for i, k := range keys {
		raw[i] = []byte(k)
	}
	s, err := NewSigner(raw...)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func TestTokenIsValidAfterKeyRotation(t *testing.T) {
	is := is.New(t)
	want := Token{RequestID: "r", Organisation: "o", Endpoint: "e", Offset: 5, Hash: 1 << 63, Expires: now.Unix() + 1}
	signed := newSigner(t, "old").Sign(want)
	got, err := newSigner(t, "new", "old").Validate(now, signed)
	is.NoErr(err)
	is.Equal(got, want)
	_, err = newSigner(t, "new").Validate(now, signed)
	is.True(errors.Is(err, ErrInvalid))
}

func TestTokenExpires(t *testing.T) {
	is := is.New(t)
	s := newSigner(t, "k")
	_, err := s.Validate(now, s.Sign(Token{Expires: now.Unix()}))
	is.True(errors.Is(err, ErrExpired))
}

func FuzzValidate(f *testing.F) {
	signer, err := NewSigner([]byte("k"))
	if err != nil {
		f.Fatal(err)
	}
	valid := signer.Sign(Token{RequestID: "r", Expires: now.Unix() + 10})
	f.Add(valid)
	f.Add("")
	f.Add(".")
	f.Add("e30.e30")
	f.Add(valid + "A")
	f.Fuzz(func(t *testing.T, text string) {
		r, err := signer.Validate(now, text)
		if err == nil && signer.Sign(r) != text {
			t.Fatalf("accepted a token that differs from its signed form: %q", text)
		}
	})
}
