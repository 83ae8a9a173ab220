package group_test

import (
	"context"
	"fmt"

	"github.com/buckthorntide/buckthorntide/group"
)

func ExampleGroup() {
	g := group.NewGroup(context.Background())
	g.Go(func(ctx context.Context) {
		<-ctx.Done()
		fmt.Println("stopped")
	})
	g.Close()
	// Output: stopped
}
