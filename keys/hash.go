package keys

import (
	"bytes"
	"crypto/sha256"
	"encoding/base32"
	"encoding/hex"
	"io"
	"strings"

	"github.com/juju/errors"
)

const (
	// prefixChars is the length of every kind's prefix.
	prefixChars = 4
	// secretBytes is the random part of a key: 160 bits.
	secretBytes = 20
	// secretChars is the random part as text.
	secretChars = 32
	// shortDigits is how many digits of a key's id people are shown.
	shortDigits = 12

	alphabet = "abcdefghijklmnopqrstuvwxyz234567"
)

// Hash is the SHA-256 of a whole key, prefix included. It names the key and
// is all that is ever kept of it.
type Hash [sha256.Size]byte

// Generate makes a new key from random bytes, which must come from a
// cryptographic source.
func Generate(kind Kind, random io.Reader) (string, error) {
	var secret [secretBytes]byte
	if _, err := io.ReadFull(random, secret[:]); err != nil {
		return "", errors.Annotate(err, "random bytes for a key")
	}
	return kind.Prefix() + base32.NewEncoding(alphabet).EncodeToString(secret[:]), nil
}

// HashKey returns the hash of a key of the kind, or ErrMalformed.
func HashKey(kind Kind, key string) (Hash, error) {
	secret, ok := strings.CutPrefix(key, kind.Prefix())
	if !ok || len(secret) != secretChars {
		return Hash{}, ErrMalformed
	}
	for i := range len(secret) {
		if !isDigit(secret[i]) {
			return Hash{}, ErrMalformed
		}
	}
	var whole [prefixChars + secretChars]byte
	copy(whole[:], key)
	return sha256.Sum256(whole[:]), nil
}

// isDigit says that the character is in the alphabet.
func isDigit(c byte) bool { return 'a' <= c && c <= 'z' || '2' <= c && c <= '7' }

// ParseHash reads a hash of 64 hexadecimal digits, or returns ErrMalformed.
func ParseHash(text string) (Hash, error) {
	var h Hash
	b, err := hex.DecodeString(text)
	if err != nil || len(b) != len(h) {
		return Hash{}, ErrMalformed
	}
	copy(h[:], b)
	return h, nil
}

// String returns the hash as 64 hexadecimal digits.
func (h Hash) String() string { return hex.EncodeToString(h[:]) }

// Short returns the hash's first digits, for people.
func (h Hash) Short() string { return h.String()[:shortDigits] }

// Compare orders hashes.
func (h Hash) Compare(other Hash) int { return bytes.Compare(h[:], other[:]) }

// MarshalText writes the hash as hexadecimal digits.
func (h Hash) MarshalText() ([]byte, error) { return []byte(h.String()), nil }

// UnmarshalText reads the hash from hexadecimal digits.
func (h *Hash) UnmarshalText(text []byte) error {
	parsed, err := ParseHash(string(text))
	*h = parsed
	return err
}

// ParseAdminSeed reads the first admin key from a file or the environment: the
// key itself, or its hash, with space around it.
func ParseAdminSeed(content string) (Hash, error) {
	content = strings.TrimSpace(content)
	if h, err := ParseHash(content); err == nil {
		return h, nil
	}
	return HashKey(AdminKind, content)
}
