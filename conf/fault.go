package conf

import (
	"fmt"
	"strings"
)

type (
	// Fault is a validation error in a text or in settings.
	Fault struct {
		// Line is the line of the input, starting at 1, or zero without an input.
		Line int `json:"line"`
		// Field is the path of the field, such as "teams[2].burst".
		Field string `json:"field"`
		// Message describes the fault.
		Message string `json:"message"`
	}

	// FaultsError is the error of a refused input. It lists all faults, sorted by
	// line.
	FaultsError struct {
		Faults []Fault
	}
)

// String returns the fault as one line, for display.
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

// Error returns the faults, one per line.
func (e *FaultsError) Error() string {
	lines := make([]string, 0, len(e.Faults))
	for _, f := range e.Faults {
		lines = append(lines, f.String())
	}
	return strings.Join(lines, "\n")
}
