package budget

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/buckthorntide/buckthorntide/rows"
)

// A row that isn't a record must not pass for one without allocations: its program
// would get its budget anew.
func TestOddRecordIsAnError(t *testing.T) {
	values := []string{
		"", "null", "{}", "[]", "17", `"x"`, `{"total":100}`, `{"total":"100","writer":"w"}`, `{"total":1e400,"writer":"w"}`,
		`{"total":100,"slices":{"a":-5},"writer":"w"}`, `{"total":100,"slices":{"a":9e18},"writer":"w"}`,
		`{"total":100,"slices":{"a":9000000000000000000,"b":9000000000000000000},"writer":"w"}`,
		`{"total":100,"slices":[1],"writer":"w"}`, `{"total":100,"advances":{"a":-1},"writer":"w"}`, `{"total":100,"returned":{"a":-1},"writer":"w"}`,
		strings.Repeat("[", 64<<10), "\xff",
	}
	for _, value := range values {
		_, err := decode(rows.Row{Version: 3, Value: []byte(value)}, 100)
		assert.Check(t, err != nil, "%.80q", value)
	}
	r, err := decode(rows.Row{Version: 3, Value: []byte(`{"total":100,"slices":{"a":5},"advances":{"a":3},"returned":{"a":1},"writer":"w"}`)}, 100)
	assert.NilError(t, err)
	assert.Equal(t, r.sum(), 7)
}
