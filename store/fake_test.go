package store_test

import (
	"context"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/buckthorntide/buckthorntide/store"
)

var _ store.Platform = (*store.Fake)(nil)

func ExampleFake() {
	ctx := context.Background()
	fake := store.NewFake()
	fake.Expect(
		store.FakeCall{Operation: store.OpCommit, Key: "k", Fault: store.FaultUnavailable},
		store.FakeCall{Operation: store.OpCommit, Key: "k", Fault: store.FaultLost},
	)
	for range 3 {
		_, err := fake.Commit(ctx, put("r", "k", "v", 0))
		fmt.Println(err)
	}
	fmt.Println(fake.Verify())
	// Output:
	// platform unavailable
	// outcome unknown
	// condition does not hold
	// <nil>
}

func TestFakeVerifyNamesMissingCall(t *testing.T) {
	fake := store.NewFake()
	fake.Expect(store.FakeCall{Operation: store.OpGet, Key: "k"})
	assert.ErrorIs(t, fake.Verify(), store.ErrExpectation)
}

func TestFakeUnknownAppliesNothing(t *testing.T) {
	ctx := context.Background()
	fake := store.NewFake()
	fake.SetFault(store.FaultUnknown)
	_, err := fake.Commit(ctx, put("r", "k", "v", 0))
	assert.ErrorIs(t, err, store.ErrUnknown)
	fake.SetFault(store.FaultNone)
	_, err = fake.Get(ctx, "k")
	assert.ErrorIs(t, err, store.ErrNotFound)
	assert.Equal(t, len(fake.Calls(store.OpCommit)), 1)
}
