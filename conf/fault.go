package conf

import (
	"fmt"
	"strings"
)

type (
	// Fault is one thing that is wrong in a text or in settings.
	Fault struct {
		// Line is the line of the input, from 1; zero where there is no input.
		Line int `json:"line"`
		// Field is the path of the field, such as "teams[2].burst".
		Field string `json:"field"`
		// Message says what is wrong.
		Message string `json:"message"`
	}

	// FaultsError says that an input was refused and lists every fault in it,
	// in the order of the lines.
	FaultsError struct {
		Faults []Fault
	}
)

// String returns the fault as one line for people.
func (f Fault) String() string {
	var b strings.Builder
	if f.Line > 0 {
		fmt.Fprintf(&b, "line %d: ", f.Line)
	}
	if f.Field != "" {
		fmt.Fprintf(&b, "%s: ", f.Field)
	}
	b.WriteString(f.Message)
	return b.String()
}

// Error returns the faults, one a line.
func (e *FaultsError) Error() string {
	lines := make([]string, 0, len(e.Faults))
	for _, f := range e.Faults {
		lines = append(lines, f.String())
	}
	return strings.Join(lines, "\n")
}
