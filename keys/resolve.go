package keys

import (
	"strings"

	"github.com/juju/errors"
)

// minIDDigits is the shortest part of an id that may stand for the whole.
const minIDDigits = 8

// Resolve returns the key whose id starts with the digits, withdrawn ones
// included, or ErrMalformed, ErrUnknownKey or ErrAmbiguous.
func (k *Keys) Resolve(digits string) (Hash, error) {
	if h, err := ParseHash(digits); err == nil {
		return h, nil
	}
	digits = strings.ToLower(digits)
	if len(digits) < minIDDigits {
		return Hash{}, errors.Annotatef(ErrMalformed, "an id has at least %d digits", minIDDigits)
	}
	first, err := firstByte(digits)
	if err != nil {
		return Hash{}, err
	}
	return (*k.shards[first].Load()).resolve(digits)
}

// firstByte reads the first two digits.
func firstByte(digits string) (byte, error) {
	padded := digits + strings.Repeat("0", len(Hash{})*2)
	h, err := ParseHash(padded[:len(Hash{})*2])
	return h[0], err
}

// resolve returns the only key of the shard whose id starts with the digits.
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
