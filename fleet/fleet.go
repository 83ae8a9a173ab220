package fleet

import (
	"math/rand/v2"
	"time"

	"github.com/buckthorntide/buckthorntide/store"
)

// Fleet ties membership, seats and delegation of one instance together. It is
// not safe for concurrent use: one thread owns it.
type Fleet struct {
	config Config
	rng    *rand.Rand
	view   *View
}

// NewFleet returns the fleet as a fresh process sees it.
func NewFleet(c Config, now time.Time, rng *rand.Rand) *Fleet {
	homes := &[ShardCount]int16{}
	return &Fleet{config: c, rng: rng, view: &View{
		Self: c.Self, Members: []Member{{Instance: c.Self, Fit: true, Reachable: true}},
		IsolatedAfter: now, homes: homes, authority: &[ShardCount]Authority{},
	}}
}

// Tick does what is due at now and returns what is to be done. The caller
// reads now before the call and sends the exchanges and the commit after it.
func (f *Fleet) Tick(now time.Time) Actions { return Actions{} }

// View returns the current snapshot. Take it anew after each call that takes
// a time.
func (f *Fleet) View() *View { return f.view }

// HandlePull answers a peer's request. The caller reads now after the request
// came in.
func (f *Fleet) HandlePull(r PullRequest, now time.Time) PullReply { return PullReply{ID: r.ID} }

// Received takes a peer's reply to an exchange.
func (f *Fleet) Received(peer string, r PullReply, now time.Time) {}

// Failed says that an exchange with a peer had no reply.
func (f *Fleet) Failed(peer string, id uint64, now time.Time) {}

// Observe says whether a call to a peer outside of the exchanges came through.
func (f *Fleet) Observe(peer string, ok bool, now time.Time) {}

// Listed takes the platform's list of instances.
func (f *Fleet) Listed(instances []store.Instance, now time.Time) {}

// PlatformHeard says that the platform answered something else.
func (f *Fleet) PlatformHeard(now time.Time) {}

// SetDomainsOut names the failure domains that are taken out.
func (f *Fleet) SetDomainsOut(domains []string, now time.Time) {}

// RowsRead takes the rows that Actions.ReadRows asked for.
func (f *Fleet) RowsRead(seats, sessions []store.Row, now time.Time) {}

// ReadFailed says that the rows could not be read.
func (f *Fleet) ReadFailed(now time.Time) {}

// Committed takes the outcome of Actions.Commit: the version, or the error of
// store.Table.Commit.
func (f *Fleet) Committed(requestID string, version int64, err error, now time.Time) {}

// Drain begins a planned stop: shards are handed over and seats are released.
func (f *Fleet) Drain(now time.Time) {}

// Drained says that a drain is through: no seat is held and no shard has
// authority.
func (f *Fleet) Drained(now time.Time) bool { return false }
