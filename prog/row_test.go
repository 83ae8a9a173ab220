package prog

import (
	"reflect"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/buckthorntide/buckthorntide/store"
)

// FuzzDecode decodes any bytes as each kind of row. A valid row must be the
// same after it is encoded and decoded again.
func FuzzDecode(f *testing.F) {
	f.Add(newTurn(&EndRequest{
		Program: "p-1", Turn: 1, Answer: Message{Role: "assistant", Body: []byte("<answer>")},
	}).uncommitted.value)
	f.Add(mustEncode(&FamilyRow{Program: "p-1", Agents: []AgentRow{{Program: "p-1", Turns: 3}}}))
	f.Add(mustEncode(&IntentRow{State: IntentDone, Answer: &CallAnswer{Status: 200}}))
	f.Add([]byte(`{"program":"p-1","agents":[{"program":"p-1"},{"program":"p-1"}]}`))
	f.Fuzz(func(t *testing.T, value []byte) {
		assertRoundTrip(t, value, DecodeFamily)
		assertRoundTrip(t, value, DecodeTurn)
		assertRoundTrip(t, value, DecodeIntent)
		result := &LoadResult{Row: store.Row{Key: FamilyKey("p-1"), Version: 1, Value: value}}
		result.Turns = []store.Row{{Key: TurnKey("p-1", 1), Version: 1, Value: value}}
		if restored, err := restore(result, testTime); err == nil {
			assert.Equal(t, restored.root, "p-1")
		}
	})
}

func assertRoundTrip[T any](t *testing.T, value []byte, decode func([]byte) (*T, error)) {
	first, err := decode(value)
	if err != nil {
		return
	}
	encoded := mustEncode(first)
	second, err := decode(encoded)
	assert.NilError(t, err)
	assert.Assert(t, reflect.DeepEqual(encoded, mustEncode(second)))
}

func TestIDs(t *testing.T) {
	cases := []struct {
		id    string
		valid bool
		root  string
	}{
		{"p-0a_Z-", true, "p-0a_Z-"},
		{"p-1.2.3", true, "p-1"},
		{"p-", false, "p-"},
		{"q-1", false, "q-1"},
		{"p-1/2", false, "p-1/2"},
		{"", false, ""},
	}
	for _, c := range cases {
		assert.Equal(t, ValidRoot(RootOf(c.id)), c.valid, c.id)
		assert.Equal(t, RootOf(c.id), c.root)
	}
	assert.Equal(t, ShardOf("p-1.2.3"), ShardOf("p-1"))
}
