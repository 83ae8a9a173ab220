package store

import (
	"context"
	"slices"
	"strings"
	"sync"

	"github.com/juju/errors"
)

// ErrExpectation says that a Fake did not receive the calls it expects.
const ErrExpectation = errors.ConstError("expected calls did not come")

// Fake is a Platform in memory for tests. Faults befall the calls that were
// expected with them, or all calls by SetFault. It is safe for concurrent use.
type Fake struct {
	mu        sync.Mutex
	table     *Memory
	objects   map[string][]byte
	instances []Instance
	fault     Fault
	expected  []FakeCall
	calls     []FakeCall
	hook      func(ctx context.Context, call FakeCall)
}

// NewFake returns an empty platform without faults.
func NewFake() *Fake {
	return &Fake{table: NewMemory(), objects: make(map[string][]byte)}
}

// SetFault lets the fault befall every call from now on.
func (f *Fake) SetFault(fault Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fault = fault
}

// SetHook sets a function that runs before every call, without a lock held. It
// may block, to let a call be slow.
func (f *Fake) SetHook(hook func(ctx context.Context, call FakeCall)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hook = hook
}

// Expect adds expected calls. The first one left that matches a call is taken
// up by it, and its fault befalls the call; calls that match none pass.
func (f *Fake) Expect(calls ...FakeCall) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.expected = append(f.expected, calls...)
}

// Verify returns ErrExpectation if an expected call has not come.
func (f *Fake) Verify() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.expected) == 0 {
		return nil
	}
	return errors.Annotatef(ErrExpectation, "%v", f.expected)
}

// Calls returns the calls of the operation so far.
func (f *Fake) Calls(operation Operation) []FakeCall {
	f.mu.Lock()
	defer f.mu.Unlock()
	var found []FakeCall
	for _, c := range f.calls {
		if c.Operation == operation {
			found = append(found, c)
		}
	}
	return found
}

// SetInstances replaces the instance list.
func (f *Fake) SetInstances(instances []Instance) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.instances = slices.Clone(instances)
}

// Get returns a row.
func (f *Fake) Get(ctx context.Context, key string) (Row, error) {
	var row Row
	err := f.do(ctx, FakeCall{Operation: OpGet, Key: key}, func() error {
		found, ok := f.table.Get(key)
		if !ok {
			return ErrNotFound
		}
		row = found
		return nil
	})
	return row, err
}

// Range returns rows in key order.
func (f *Fake) Range(ctx context.Context, prefix, after string, limit int) ([]Row, error) {
	var rows []Row
	err := f.do(ctx, FakeCall{Operation: OpRange, Key: prefix}, func() error {
		rows = f.table.Range(prefix, after, limit)
		return nil
	})
	return rows, err
}

// Commit applies a transaction.
func (f *Fake) Commit(ctx context.Context, txn Txn) (int64, error) {
	call := FakeCall{Operation: OpCommit, Txn: txn}
	if len(txn.Writes) > 0 {
		call.Key = txn.Writes[0].Key
	}
	var version int64
	err := f.do(ctx, call, func() error {
		applied, against := f.table.Commit(txn)
		if len(against) > 0 {
			return &ConflictError{Rows: against}
		}
		version = applied
		return nil
	})
	return version, err
}

// PutObject stores an object.
func (f *Fake) PutObject(ctx context.Context, name string, body []byte) error {
	return f.do(ctx, FakeCall{Operation: OpPutObject, Key: name}, func() error {
		f.objects[name] = slices.Clone(body)
		return nil
	})
}

// GetObject returns an object.
func (f *Fake) GetObject(ctx context.Context, name string) ([]byte, error) {
	var body []byte
	err := f.do(ctx, FakeCall{Operation: OpGetObject, Key: name}, func() error {
		found, ok := f.objects[name]
		if !ok {
			return ErrNotFound
		}
		body = slices.Clone(found)
		return nil
	})
	return body, err
}

// ListObjects returns the names that have the prefix, sorted.
func (f *Fake) ListObjects(ctx context.Context, prefix string) ([]string, error) {
	var names []string
	err := f.do(ctx, FakeCall{Operation: OpListObjects, Key: prefix}, func() error {
		for name := range f.objects {
			if strings.HasPrefix(name, prefix) {
				names = append(names, name)
			}
		}
		slices.Sort(names)
		return nil
	})
	return names, err
}

// DeleteObject removes an object.
func (f *Fake) DeleteObject(ctx context.Context, name string) error {
	return f.do(ctx, FakeCall{Operation: OpDeleteObject, Key: name}, func() error {
		delete(f.objects, name)
		return nil
	})
}

// ListInstances returns the instance list.
func (f *Fake) ListInstances(ctx context.Context) ([]Instance, error) {
	var list []Instance
	err := f.do(ctx, FakeCall{Operation: OpListInstances}, func() error {
		list = slices.Clone(f.instances)
		return nil
	})
	return list, err
}

// Announce puts an instance on the list in place of its namesake.
func (f *Fake) Announce(ctx context.Context, instance Instance) error {
	return f.do(ctx, FakeCall{Operation: OpAnnounce, Key: instance.Name}, func() error {
		f.instances = slices.DeleteFunc(f.instances, func(i Instance) bool { return i.Name == instance.Name })
		f.instances = append(f.instances, instance)
		return nil
	})
}

func (f *Fake) do(ctx context.Context, call FakeCall, apply func() error) error {
	f.mu.Lock()
	hook := f.hook
	f.mu.Unlock()
	if hook != nil {
		hook(ctx, call)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	call.Fault = f.faultOf(call)
	f.calls = append(f.calls, call)
	if ctx.Err() != nil {
		return errors.Annotate(ErrUnavailable, ctx.Err().Error())
	}
	switch call.Fault {
	case FaultUnavailable:
		return ErrUnavailable
	case FaultUnknown:
		return ErrUnknown
	case FaultLost:
		if err := apply(); err != nil {
			return err
		}
		return ErrUnknown
	}
	return apply()
}

func (f *Fake) faultOf(call FakeCall) Fault {
	for i, expected := range f.expected {
		if expected.matches(call) {
			f.expected = slices.Delete(f.expected, i, i+1)
			return expected.Fault
		}
	}
	return f.fault
}
