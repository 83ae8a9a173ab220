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
	// prefixChars is the length of the prefix of either kind.
	prefixChars = 4
	// secretBytes is the size of a key's random part: 160 bits.
	secretBytes = 20
	// secretChars is the length of the random part in base32.
	secretChars = 32
	// shortIDDigits is the number of digits in an abbreviated key id.
	shortIDDigits = 12

	alphabet = "abcdefghijklmnopqrstuvwxyz234567"
)

// Hash is the SHA-256 of a key including its prefix. It serves as the key's id;
// the key itself is never stored.
type Hash [sha256.Size]byte

// Generate returns a new key. The reader must be a cryptographic source.
func Generate(kind Kind, random io.Reader) (string, error) {
	var secret [secretBytes]byte
	if _, err := io.ReadFull(random, secret[:]); err != nil {
		return "", errors.Annotate(err, "random bytes for a key")
	}
	return kind.Prefix() + base32.NewEncoding(alphabet).EncodeToString(secret[:]), nil
}

// HashKey returns the hash of a key, or ErrMalformed if the key doesn't have the
// format of the kind.
func HashKey(kind Kind, key string) (Hash, error) {
	secret, ok := strings.CutPrefix(key, kind.Prefix())
	if !ok || len(secret) != secretChars {
		return Hash{}, ErrMalformed
	}
	for i := range len(secret) {
		if !isAlphabetChar(secret[i]) {
			return Hash{}, ErrMalformed
		}
	}
	var checked [prefixChars + secretChars]byte
	copy(checked[:], key)
	return sha256.Sum256(checked[:]), nil
}

// isAlphabetChar reports whether the character is in the alphabet.
func isAlphabetChar(c byte) bool { return 'a' <= c && c <= 'z' || '2' <= c && c <= '7' }

// ParseHash parses a hash of 64 hexadecimal digits, or returns ErrMalformed.
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

// Short returns the first digits of the hash, for display.
func (h Hash) Short() string { return h.String()[:shortIDDigits] }

// Compare orders hashes bytewise, as bytes.Compare does.
func (h Hash) Compare(other Hash) int { return bytes.Compare(h[:], other[:]) }

// MarshalText encodes the hash as hexadecimal digits.
func (h Hash) MarshalText() ([]byte, error) { return []byte(h.String()), nil }

// UnmarshalText decodes the hash from hexadecimal digits.
func (h *Hash) UnmarshalText(text []byte) error {
	parsed, err := ParseHash(string(text))
	*h = parsed
	return err
}

// ParseAdminSeed parses the initial admin key as configured in a file or the
// environment: the key itself or its hash. Surrounding white space is ignored.
func ParseAdminSeed(content string) (Hash, error) {
	content = strings.TrimSpace(content)
	if h, err := ParseHash(content); err == nil {
		return h, nil
	}
	return HashKey(AdminKind, content)
}
