package keys

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"runtime"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/buckthorntide/buckthorntide/store"
)

const testTimeout = 2 * time.Second

func newTestKeys() *Keys {
	return NewKeys(CallerKind, Freshness{Timeout: testTimeout, Peers: 1})
}

// testKey returns a key that is derived from n, with its hash.
func testKey(kind Kind, n uint64) (string, Hash) {
	var seed [32]byte
	seed[0], seed[1], seed[2] = byte(n), byte(n>>8), byte(n>>16)
	key, err := Generate(kind, rand.NewChaCha8(seed))
	if err != nil {
		panic(err)
	}
	h, err := HashKey(kind, key)
	if err != nil {
		panic(err)
	}
	return key, h
}

func TestCheck(t *testing.T) {
	good, hash := testKey(CallerKind, 1)
	withdrawn, withdrawnHash := testKey(CallerKind, 2)
	unissued, _ := testKey(CallerKind, 3)
	admin, adminHash := testKey(AdminKind, 4)
	k := newTestKeys()
	k.Push(Change{Hash: hash, Team: "atlas"})
	k.Push(Change{Hash: withdrawnHash, Team: "atlas"})
	k.Push(Change{Hash: withdrawnHash, Withdrawn: true})
	k.Push(Change{Hash: adminHash})
	tests := []struct {
		name, key, team string
		want            error
	}{
		{"issued", good, "atlas", nil},
		{"withdrawn", withdrawn, "", ErrWithdrawn},
		{"never issued", unissued, "", ErrUnknownKey},
		{"empty", "", "", ErrMalformed},
		{"admin key as caller key", admin, "", ErrMalformed},
		{"truncated key", good[:len(good)-1], "", ErrMalformed},
		{"too long", good + "a", "", ErrMalformed},
		{"upper case", "btk_" + strings.ToUpper(good[4:]), "", ErrMalformed},
		{"space", good[:len(good)-1] + " ", "", ErrMalformed},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got, err := k.Check(tt.key)
			assert.ErrorIs(t, err, tt.want)
			assert.Equal(t, got.Team, tt.team)
		})
	}
}

func TestRowsDoNotContainTheKey(t *testing.T) {
	key, hash := testKey(CallerKind, 1)
	p, err := Issue(CallerKind, store.Row{}, key, "atlas", "till 3", "r1")
	assert.NilError(t, err)
	written, err := json.Marshal(p)
	assert.NilError(t, err)
	assert.Assert(t, !bytes.Contains(written, []byte(key[len("btk_"):])))
	assert.Equal(t, p.Txn.Writes[0].Key, "key/"+hash.String())
}

func TestGenerateFailsWithoutRandomBytes(t *testing.T) {
	_, err := Generate(CallerKind, strings.NewReader("too short"))
	assert.ErrorContains(t, err, "random bytes")
}

func TestParseAdminSeed(t *testing.T) {
	admin, adminHash := testKey(AdminKind, 1)
	caller, _ := testKey(CallerKind, 1)
	tests := []struct {
		name, content string
		want          error
	}{
		{"key", admin + "\n", nil},
		{"hash", " " + adminHash.String(), nil},
		{"caller key", caller, ErrMalformed},
		{"empty", "", ErrMalformed},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h, err := ParseAdminSeed(tt.content)
			assert.ErrorIs(t, err, tt.want)
			if tt.want == nil {
				assert.Equal(t, h, adminHash)
			}
		})
	}
}

func TestSeedIsValidUntilWithdrawn(t *testing.T) {
	admin, hash := testKey(AdminKind, 1)
	k := NewKeys(AdminKind, Freshness{Timeout: testTimeout})
	k.Seed(hash)
	_, err := k.Check(admin)
	assert.NilError(t, err)
	p, err := Withdraw(AdminKind, store.Row{}, store.Row{}, hash, true, "r")
	assert.NilError(t, err)
	k.Push(p.Change)
	k.Seed(hash)
	_, err = k.Check(admin)
	assert.ErrorIs(t, err, ErrWithdrawn)
}

func TestResolve(t *testing.T) {
	_, hash := testKey(CallerKind, 1)
	k := newTestKeys()
	k.Push(Change{Hash: hash, Team: "atlas"})
	twin := hash
	twin[31]++
	tests := []struct {
		name, digits string
		want         error
	}{
		{"whole", hash.String(), nil},
		{"part", hash.Short(), nil},
		{"upper case", strings.ToUpper(hash.Short()), nil},
		{"odd count", hash.String()[:9], nil},
		{"too short", hash.String()[:7], ErrMalformed},
		{"not hexadecimal", "zzzzzzzzzz", ErrMalformed},
		{"too long", hash.String() + "0", ErrMalformed},
		{"unknown", "00000000", ErrUnknownKey},
		{"unknown whole", strings.Repeat("0", 64), ErrUnknownKey},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got, err := k.Resolve(tt.digits)
			assert.ErrorIs(t, err, tt.want)
			if tt.want == nil {
				assert.Equal(t, got, hash)
			}
		})
	}
	k.Push(Change{Hash: twin, Team: "atlas"})
	_, err := k.Resolve(hash.Short())
	assert.ErrorIs(t, err, ErrAmbiguous)
}

func TestPagesCoverTheCompleteSet(t *testing.T) {
	from, to := newTestKeys(), newTestKeys()
	for n := range uint64(50) {
		_, h := testKey(CallerKind, n)
		from.Push(Change{Hash: h, Team: fmt.Sprint("t", n), Withdrawn: n%5 == 0})
	}
	var after Hash
	for {
		page := from.Page(after, 7)
		to.LearnPage(page)
		if len(page) < 7 {
			break
		}
		after = page[len(page)-1].Hash
	}
	assert.DeepEqual(t, to.Page(Hash{}, 100), from.Page(Hash{}, 100))
	assert.Equal(t, to.Len(), 50)
}

func ExampleKeys() {
	key, hash := testKey(CallerKind, 7)
	k := NewKeys(CallerKind, Freshness{Timeout: 2 * time.Second})
	k.Push(Change{Revision: 1, Hash: hash, Team: "atlas"})
	who, err := k.Check(key)
	fmt.Println(who.Team, err)
	k.Push(Change{Revision: 2, Hash: hash, Withdrawn: true})
	k.Push(Change{Revision: 1, Hash: hash, Team: "atlas"})
	_, err = k.Check(key)
	fmt.Println(err)
	// Output:
	// atlas <nil>
	// withdrawn key
}

// fillKeys returns a set of n keys, each of a team of its own.
func fillKeys(n int) *Keys {
	changes := make([]Change, 0, n)
	for i := range uint64(n) {
		_, h := testKey(CallerKind, i)
		changes = append(changes, Change{Hash: h, Team: fmt.Sprintf("team-%05d", i)})
	}
	k := newTestKeys()
	k.LearnPage(changes)
	return k
}

// BenchmarkMemory reports the memory per key, including its team's name.
func BenchmarkMemory(b *testing.B) {
	for _, n := range []int{1_000, 10_000, 43_000} {
		b.Run(fmt.Sprint("keys=", n), func(b *testing.B) {
			for b.Loop() {
				before := heapBytes()
				k := fillKeys(n)
				b.ReportMetric(float64(heapBytes()-before)/float64(n), "B/key")
				runtime.KeepAlive(k)
			}
		})
	}
}

func heapBytes() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkCheck measures checking one of many keys.
func BenchmarkCheck(b *testing.B) {
	for _, n := range []int{1_000, 10_000, 43_000} {
		k := fillKeys(n)
		key, _ := testKey(CallerKind, 500)
		b.Run(fmt.Sprint("keys=", n), func(b *testing.B) {
			for b.Loop() {
				_, err := k.Check(key)
				assert.NilError(b, err)
			}
		})
	}
}

// BenchmarkPush measures applying a single withdrawal to sets of several sizes.
func BenchmarkPush(b *testing.B) {
	for _, n := range []int{1_000, 10_000, 43_000} {
		k := fillKeys(n)
		_, h := testKey(CallerKind, 500)
		b.Run(fmt.Sprint("keys=", n), func(b *testing.B) {
			for b.Loop() {
				k.Push(Change{Hash: h, Withdrawn: true})
			}
		})
	}
}
