package keys

import (
	"strings"

	"github.com/juju/errors"
)

// minIDDigits is the minimum length of an abbreviated id.
const minIDDigits = 8

// Resolve returns the key, withdrawn or not, whose id starts with the digits. It
// returns ErrMalformed, ErrUnknownKey or ErrAmbiguous.
func (k *Keys) Resolve(digits string) (Hash, error) {
	digits = strings.ToLower(digits)
	if len(digits) < minIDDigits {
		return Hash{}, errors.Annotatef(ErrMalformed, "an id has at least %d digits", minIDDigits)
	}
	first, err := parseFirstByte(digits)
	if err != nil {
		return Hash{}, err
	}
	return (*k.shards[first].Load()).resolve(digits)
}

// parseFirstByte parses the first two digits, after validating all of them.
func parseFirstByte(digits string) (byte, error) {
	fullLength := 2 * len(Hash{})
	if len(digits) > fullLength {
		return 0, ErrMalformed
	}
	h, err := ParseHash(digits + strings.Repeat("0", fullLength-len(digits)))
	return h[0], err
}

// resolve returns the shard's only key whose id starts with the digits.
func (s shard) resolve(digits string) (Hash, error) {
	var match Hash
	matches := 0
	for _, e := range s {
		if strings.HasPrefix(e.hash.String(), digits) {
			match = e.hash
			matches++
		}
	}
	switch matches {
	case 0:
		return Hash{}, ErrUnknownKey
	case 1:
		return match, nil
	default:
		return Hash{}, ErrAmbiguous
	}
}
