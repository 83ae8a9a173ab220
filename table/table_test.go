package table_test

import (
	"fmt"
	"strings"

	"github.com/buckthorntide/buckthorntide/table"
)

func ExampleTable_TakeChanged() {
	teams := table.NewTable[string, int]()
	teams.Put("fes", 1)
	fmt.Println(teams.TakeChanged())
	fmt.Println(teams.TakeChanged())
	*teams.Get("fes") = 2
	teams.Touch("fes")
	fmt.Println(teams.TakeChanged())
	// Output:
	// [fes]
	// []
	// [fes]
}

func ExampleTable_Keys() {
	teams := table.NewTable[string, int]()
	teams.Put("zug", 1)
	teams.Put("fes", 2)
	fmt.Println(teams.Keys(strings.Compare))
	// Output: [fes zug]
}
