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

// Token is the bearer token of a caller or an operator. Every fmt verb prints it
// as "[redacted]"; Reveal returns the secret. The secret is stored behind a
// pointer because fmt does not call the methods of values in unexported fields,
// but prints pointers in them as addresses. The zero value matches no Digest.
type Token struct{ secret *string }

// NewToken returns a random token of at least 128 bits.
func NewToken() Token { return TokenOf(rand.Text()) }

// TokenOf returns the token with the given secret, as received from a caller.
func TokenOf(secret string) Token { return Token{&secret} }

// Reveal returns the secret, to be shown once to its owner.
func (t Token) Reveal() string {
	if t.secret == nil {
		return ""
	}
	return *t.secret
}

// Format prints "[redacted]" for every fmt verb.
func (Token) Format(f fmt.State, _ rune) { _, _ = io.WriteString(f, redacted) }

// String returns "[redacted]".
func (Token) String() string { return redacted }

// MarshalText returns "[redacted]".
func (Token) MarshalText() ([]byte, error) { return []byte(redacted), nil }

var (
	_ fmt.Formatter          = Token{}
	_ encoding.TextMarshaler = Token{}
)

// Digest returns the hash that is stored in place of the token.
func (t Token) Digest() Digest { return sha256.Sum256([]byte(t.Reveal())) }

// Digest is the SHA-256 hash of a Token. Configurations store it in place of the
// token. Tokens are random, so the hash needs no salt.
type Digest [sha256.Size]byte

// String returns the digest in hexadecimal digits.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// Matches reports, in constant time, whether d is the digest of t. The empty
// token matches nothing.
func (d Digest) Matches(t Token) bool {
	sum := t.Digest()
	return subtle.ConstantTimeCompare(d[:], sum[:]) == 1 && t.Reveal() != ""
}

// ParseDigest parses a digest of 64 hexadecimal digits.
func ParseDigest(text string) (Digest, error) {
	var d Digest
	b, err := hex.DecodeString(text)
	if err != nil || len(b) != len(d) {
		return d, fmt.Errorf("token digest has %d characters, want %d hexadecimal digits", len(text), hex.EncodedLen(len(d)))
	}
	copy(d[:], b)
	return d, nil
}

// TokenTable maps tokens to identities of type T. Find compares every entry in
// constant time, also after a match, so that its duration does not reveal the
// match. The zero value is empty. Add must not be called once the table is shared.
type TokenTable[T any] struct {
	entries []tokenEntry[T]
}

type tokenEntry[T any] struct {
	digest   Digest
	identity T
}

// Add associates the token that has the digest d with identity.
func (r *TokenTable[T]) Add(d Digest, identity T) {
	r.entries = append(r.entries, tokenEntry[T]{d, identity})
}

// Find returns the identity associated with t and whether there is one.
func (r *TokenTable[T]) Find(t Token) (T, bool) {
	var identity T
	found := false
	for _, e := range r.entries {
		if e.digest.Matches(t) && !found {
			identity, found = e.identity, true
		}
	}
	return identity, found
}
