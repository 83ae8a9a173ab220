package watch

import (
	"time"

	"github.com/juju/errors"

	"github.com/buckthorntide/buckthorntide/rows"
	"github.com/buckthorntide/buckthorntide/site"
)

// guardedDecoder makes a panic over a row of another writer the row's error.
type guardedDecoder struct{ Decoder }

// Config decodes the row if it holds the configuration.
func (d guardedDecoder) Config(row rows.Row) (config *site.Config, ok bool, err error) {
	defer guard(&err, func() { ok = true })
	return d.Decoder.Config(row)
}

// Upstream decodes an upstream's row.
func (d guardedDecoder) Upstream(row rows.Row, now time.Duration) (u *site.Upstream, err error) {
	defer guard(&err, func() {})
	return d.Decoder.Upstream(row, now)
}

func guard(err *error, panicked func()) {
	if cause := recover(); cause != nil {
		*err = errors.Errorf("decoder panicked: %v", cause)
		panicked()
	}
}
