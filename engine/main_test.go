package engine_test

import (
	"testing"

	"github.com/buckthorntide/buckthorntide/props"
)

func TestMain(m *testing.M) {
	props.Main(m, props.Settings{"rapid.checks": "300", "rapid.steps": "60", "rapid.nofailfile": "true"})
}
