// Package peer carries typed messages between the project's own processes
// over gRPC. Messages are plain structs of the packages that decide on them;
// the codec is CBOR, so no generated copy of each struct is needed.
package peer

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"
)

const codecName = "cbor"

// Codec encodes messages as CBOR. Unknown fields are skipped, so that two
// versions of the program can talk during a rolling upgrade.
type Codec struct{}

// Marshal encodes a message.
func (Codec) Marshal(v any) ([]byte, error) {
	b, err := cbor.Marshal(v)
	return b, errors.Annotate(err, "encode message")
}

// Unmarshal decodes a message.
func (Codec) Unmarshal(b []byte, v any) error {
	return errors.Annotate(cbor.Unmarshal(b, v), "decode message")
}

// Name returns the codec's name on the wire.
func (Codec) Name() string { return codecName }
