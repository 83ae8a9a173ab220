// Package peer provides typed calls between the instances over gRPC. Messages are
// plain structs of the packages that handle them, encoded as CBOR, so that no
// generated copies of the structs are needed.
package peer

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"
)

const codecName = "cbor"

// Codec encodes messages as CBOR. It ignores unknown fields, so that two versions
// of the program can communicate during a rolling upgrade.
type Codec struct{}

// Marshal encodes a message, as grpc/encoding.Codec requires.
func (Codec) Marshal(v any) ([]byte, error) {
	b, err := cbor.Marshal(v)
	return b, errors.Annotate(err, "encode message")
}

// Unmarshal decodes a message into v, which must be a pointer.
func (Codec) Unmarshal(b []byte, v any) error {
	return errors.Annotate(cbor.Unmarshal(b, v), "decode message")
}

// Name returns the codec's name on the wire.
func (Codec) Name() string { return codecName }
