package prog_test

import (
	"fmt"
	"time"

	"github.com/buckthorntide/buckthorntide/prog"
)

// A Core takes requests and returns actions; here every commit succeeds.
func ExampleCore() {
	now := time.Unix(0, 0)
	core := prog.NewCore(prog.DefaultOptions("instance-1", "epoch-1"))
	var show func(actions []prog.Action)
	show = func(actions []prog.Action) {
		for _, a := range actions {
			switch {
			case a.Commit != nil:
				fmt.Println("commit of", len(a.Commit.Txn.Writes), "rows")
				show(core.Committed(a.Commit.Root, a.Commit.Txn.RequestID, 1, nil, now))
			case a.Reply.Open != nil:
				fmt.Println("kept:", a.Reply.Open.Kept)
			case a.Reply.Begin != nil:
				fmt.Println("start of turn", a.Reply.Begin.Start.Turn)
			}
		}
	}
	show(core.Open(1, prog.OpenRequest{Program: "p-1", Team: "bridal"}, now))
	show(core.Begin(2, prog.BeginRequest{Program: "p-1", Team: "bridal", CallID: "call-1"}, now))
	// Output:
	// commit of 1 rows
	// kept: true
	// start of turn 1
}

func ExampleRootOf() {
	fmt.Println(prog.RootOf("p-1.17.4"))
	// Output: p-1
}
