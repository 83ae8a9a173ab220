package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
)

// printTable prints the result's JSON fields one a line, for people.
func printTable(out io.Writer, r result) error {
	raw, err := json.Marshal(r)
	if err != nil {
		return err
	}
	decoder := json.NewDecoder(bytes.NewReader(raw))
	if _, err := decoder.Token(); err != nil {
		return err
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	for decoder.More() {
		name, err := decoder.Token()
		if err != nil {
			return err
		}
		value, err := decoder.Token()
		if err != nil {
			return err
		}
		_, _ = fmt.Fprintf(w, "%v\t%v\n", name, value)
	}
	_, _ = fmt.Fprintln(w)
	return w.Flush()
}
