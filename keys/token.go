package keys

import (
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding"
	"encoding/hex"
	"fmt"
	"io"
)

const redacted = "[redacted]"

// Token is the secret of a caller or an operator. It prints as "[redacted]"
// with every verb; Reveal returns the secret itself. The secret is held behind
// a pointer because fmt does not call the methods of unexported fields, but
// prints their pointers as addresses. The zero value matches no Digest.
type Token struct{ secret *string }

// NewToken returns a random token of at least 128 bits.
func NewToken() Token { return TokenOf(rand.Text()) }

// TokenOf returns the token with the given secret, as received from a caller.
func TokenOf(secret string) Token { return Token{&secret} }

// Reveal returns the secret, to be shown once to the one whom it is for.
func (t Token) Reveal() string {
	if t.secret == nil {
		return ""
	}
	return *t.secret
}

// Format redacts the secret for every verb of fmt.
func (Token) Format(f fmt.State, _ rune) { _, _ = io.WriteString(f, redacted) }

// String redacts the secret.
func (Token) String() string { return redacted }

// MarshalText redacts the secret.
func (Token) MarshalText() ([]byte, error) { return []byte(redacted), nil }

var (
	_ fmt.Formatter          = Token{}
	_ encoding.TextMarshaler = Token{}
)

// Digest returns the hash under which the token is kept.
func (t Token) Digest() Digest { return sha256.Sum256([]byte(t.Reveal())) }

// Digest is the SHA-256 hash of a Token, which configurations hold in its
// place. Tokens are random, so the hash needs no salt.
type Digest [sha256.Size]byte

// String returns the digest in hexadecimal digits.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// Matches reports, in constant time, whether d is the digest of t. The empty
// token matches nothing.
func (d Digest) Matches(t Token) bool {
	sum := t.Digest()
	return subtle.ConstantTimeCompare(d[:], sum[:]) == 1 && t.Reveal() != ""
}

// ParseDigest reads a digest of 64 hexadecimal digits.
func ParseDigest(text string) (Digest, error) {
	var d Digest
	b, err := hex.DecodeString(text)
	if err != nil || len(b) != len(d) {
		return d, fmt.Errorf("token digest has %d characters, want %d hexadecimal digits", len(text), hex.EncodedLen(len(d)))
	}
	copy(d[:], b)
	return d, nil
}

// Ring finds the identity of type T to which a token belongs. Each entry is
// compared in constant time and none is skipped. The zero value is empty. A
// Ring is filled before it is shared.
type Ring[T any] struct {
	entries []ringEntry[T]
}

type ringEntry[T any] struct {
	digest   Digest
	identity T
}

// Add lets the token with the given digest stand for identity.
func (r *Ring[T]) Add(d Digest, identity T) {
	r.entries = append(r.entries, ringEntry[T]{d, identity})
}

// Find returns the identity of the token's owner, and whether there is one.
func (r *Ring[T]) Find(t Token) (T, bool) {
	var identity T
	found := false
	for _, e := range r.entries {
		if e.digest.Matches(t) && !found {
			identity, found = e.identity, true
		}
	}
	return identity, found
}
