package prog

import (
	"testing"

	"github.com/buckthorntide/buckthorntide/props"
)

func TestMain(m *testing.M) { props.Main(m, nil) }
