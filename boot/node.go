// Package boot puts one process together: it makes every part, hands each what
// it needs, and starts and stops them in order.
package boot

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"

	"github.com/buckthorntide/buckthorntide/admin"
	"github.com/buckthorntide/buckthorntide/calls"
	"github.com/buckthorntide/buckthorntide/common"
	"github.com/buckthorntide/buckthorntide/conf"
	"github.com/buckthorntide/buckthorntide/ctrl"
	"github.com/buckthorntide/buckthorntide/engine"
	"github.com/buckthorntide/buckthorntide/entry"
	"github.com/buckthorntide/buckthorntide/fleet"
	"github.com/buckthorntide/buckthorntide/group"
	"github.com/buckthorntide/buckthorntide/homes"
	"github.com/buckthorntide/buckthorntide/keys"
	"github.com/buckthorntide/buckthorntide/member"
	"github.com/buckthorntide/buckthorntide/orders"
	"github.com/buckthorntide/buckthorntide/peer"
	"github.com/buckthorntide/buckthorntide/pools"
	"github.com/buckthorntide/buckthorntide/prog"
	"github.com/buckthorntide/buckthorntide/progs"
	"github.com/buckthorntide/buckthorntide/quota"
	"github.com/buckthorntide/buckthorntide/relay"
	"github.com/buckthorntide/buckthorntide/route"
	"github.com/buckthorntide/buckthorntide/spread"
	"github.com/buckthorntide/buckthorntide/store"
)

const (
	// tickInterval is the time between two ticks of the control thread.
	tickInterval = 50 * time.Millisecond
	// keptBound is how long an answer waits for its turn's commit before it
	// goes out as not yet kept.
	keptBound = 250 * time.Millisecond
	// sweepInterval is the time between two tries at what the store did not
	// take.
	sweepInterval = time.Second
)

type (
	// Options are what a Node is made with.
	Options struct {
		Settings conf.Settings
		Log      hclog.Logger
		// AdminKey is the first admin key or its hash; empty means none.
		AdminKey string
		// Policy makes the routing policy of a service; nil means route.Pool.
		Policy pools.NewPolicy
	}

	// Node is one instance: every part of the process.
	Node struct {
		common    *common.Common
		epoch     uint64
		self      store.Instance
		startedAt time.Time

		platform  *store.Client
		committer *store.Committer
		thread    *ctrl.Thread
		conns     *peer.Conns
		watch     *keys.StreamRegistry
		spread    *spread.Spread
		member    *member.Member
		router    *homes.Router
		quota     *quota.Home
		keeper    *prog.Keeper
		intents   *prog.Intents
		carrier   *progs.Carrier
		progs     *progs.Home
		programs  *progs.Client
		relayer   *pools.Relayer
		pools     *pools.Home
		orders    *orders.Runner
		routes    *pools.Client
		plain     *relay.Plain
		peers     *peer.Server
		entry     *entry.Server
		admin     *admin.Server
		operator  *admin.Operator
		group     *group.Group

		adminKey   string
		started    atomic.Bool
		draining   atomic.Bool
		drainAsked chan struct{}
		engineHTTP *http.Client
		engines    *engine.Client
		newPolicy  pools.NewPolicy
	}
)

// NewNode makes every part and listens; nothing runs before Start.
func NewNode(o Options) (*Node, error) {
	n := &Node{
		common:     common.NewCommon(o.Log, o.Settings),
		epoch:      rand.Uint64() | 1,
		adminKey:   o.AdminKey,
		newPolicy:  o.Policy,
		drainAsked: make(chan struct{}),
		group:      group.NewGroup(context.Background()),
	}
	if n.newPolicy == nil {
		n.newPolicy = func(index *engine.CacheIndex) pools.Policy {
			return route.NewPool(route.DefaultLimits(), index)
		}
	}
	var err error
	if n.peers, err = peer.NewServer(n.common, o.Settings.PeerAddress); err != nil {
		return nil, errors.Trace(err)
	}
	n.common.Settings.PeerAddress = n.peers.Address()
	n.makeControl()
	n.makeHomes()
	return n, n.listen()
}

// makeControl makes what the control thread and the platform need.
func (n *Node) makeControl() {
	s := n.common.Settings
	n.platform = store.NewClient(s.PlatformAddress, time.Duration(s.StoreTimeout))
	n.committer = store.NewCommitter(n.platform, store.CommitterConfig{
		Interval:     time.Duration(s.CommitInterval),
		MarkerPrefix: "commit/" + strconv.FormatUint(n.epoch, 36),
	})
	n.thread = ctrl.NewThread(n.common, tickInterval)
	n.conns = peer.NewConns(n.common.Metrics)
	n.watch = keys.NewStreamRegistry()
	config := fleet.NewConfig(s, n.epoch)
	n.self = config.Self
	n.spread = spread.NewSpread(n.common, n.self.Name, n.thread, n.conns, n.platform, n.watch)
	n.engineHTTP = &http.Client{Transport: relay.NewTransport(relay.NewUsualDialer())}
	n.engines = engine.NewClient(n.engineHTTP)
	n.plain = relay.NewPlain()
}

// makeHomes makes what decides for shards and what asks for decisions.
func (n *Node) makeHomes() {
	epoch := strconv.FormatUint(n.epoch, 36)
	n.keeper = prog.NewKeeper(context.Background(), prog.KeeperOptions{
		Core:        n.programOptions(epoch),
		Common:      n.common,
		Table:       n.platform,
		Objects:     n.platform,
		Committer:   groupCommit{n.committer},
		Random:      rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		Release:     n.release,
		Unreachable: n.committer.Unreachable,
	})
	n.intents = prog.NewIntents(prog.IntentsOptions{
		Common:    n.common,
		Table:     n.platform,
		Objects:   n.platform,
		Committer: groupCommit{n.committer},
		Self:      prog.Dispatcher{Instance: n.self.Name, Epoch: epoch},
		Live:      n.isLive,
	})
	n.quota = quota.NewHome(n.common, n.thread, n.conns)
	n.carrier = progs.NewCarrier()
	n.progs = progs.NewHome(n.common, n.thread, n.conns, n.keeper, n.carrier)
	n.relayer = pools.NewRelayer(n.self.Name)
	config := fleet.NewConfig(n.common.Settings, n.epoch)
	f := fleet.NewFleet(config, n.common.Clock.Now(), rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	n.member = member.NewMember(n.common, f, n.thread, n.conns, n.platform, n.self)
	n.router = homes.NewRouter(n.member, n.conns)
	n.pools = pools.NewHome(n.common, n.thread, n.conns, n.relayer, n.router, n.engines, n.plain,
		progs.NewLives(n.router, n.progs), n.newPolicy)
	n.orders = orders.NewRunner(n.common, n.self.Name+"/"+epoch, n.thread, n.platform, n.engines)
	n.member.Follow(n.quota, n.progs, n.pools, n.orders)
	n.quota.Follow(n.member)
	n.progs.Follow(n.member)
	n.pools.Follow(n.member)
	n.spread.Follow(n.member, textFollower{n})
	for _, system := range []ctrl.System{n.member, n.spread, n.quota, n.progs, n.pools, n.orders} {
		n.thread.Add(system)
	}
}

func (n *Node) programOptions(epoch string) prog.Options {
	o := prog.DefaultOptions(n.self.Name, epoch)
	o.KeptBound = keptBound
	return o
}

// listen makes the three servers.
func (n *Node) listen() error {
	var handlers []peer.Handler
	for _, part := range []handlerSource{n.member, n.spread, n.quota, n.progs, n.pools} {
		handlers = append(handlers, part.Handlers()...)
	}
	s := n.common.Settings
	limits := quota.NewClient(n.router, n.quota)
	n.programs = progs.NewClient(n.common, n.router, n.progs, n.carrier)
	n.peers.Register(append(handlers, n.programs.Handlers()...)...)
	n.routes = pools.NewClient(n.common, n.router, n.pools, n.relayer)
	model := calls.NewModel(n.common, n.self.Name, n.spread, limits, n.programs, n.routes, n.engines)
	plain := calls.NewPlain(n.common, n.self.Name, limits, n.programs, n.routes, n.intents, n.plain)
	var err error
	n.entry, err = entry.NewServer(n.common, s.ListenAddress, n.spread.Keys(keys.CallerKind), n.watch,
		n.spread, n, calls.NewOpener(n.programs), model, plain)
	if err != nil {
		return errors.Trace(err)
	}
	n.operator = admin.NewOperator(n.platform, n.spread, n)
	n.admin, err = admin.NewServer(n.common, s.AdminAddress, n.spread.Keys(keys.AdminKind), n.operator)
	return errors.Trace(err)
}

type handlerSource interface {
	Handlers() []peer.Handler
}

// isLive tells whether the run of an instance that claimed a call is believed
// to go on. Another run of this instance has surely ended.
func (n *Node) isLive(d prog.Dispatcher) bool {
	if d.Instance == n.self.Name {
		return d.Epoch == strconv.FormatUint(n.epoch, 36)
	}
	m, ok := n.member.View().Member(d.Instance)
	return ok && m.Reachable
}
