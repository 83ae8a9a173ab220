// Package boot assembles the process: it creates every subsystem, injects its
// dependencies, and starts and stops the subsystems in order. It also
// implements the subcommands serve, front and demo.
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
	"github.com/buckthorntide/buckthorntide/drain"
	"github.com/buckthorntide/buckthorntide/engine"
	"github.com/buckthorntide/buckthorntide/entry"
	"github.com/buckthorntide/buckthorntide/fleet"
	"github.com/buckthorntide/buckthorntide/gossip"
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
	"github.com/buckthorntide/buckthorntide/store"
)

const (
	// tickInterval is the time between two ticks of the control thread.
	tickInterval = 50 * time.Millisecond
	// commitTimeout bounds how long an answer waits for its turn's commit; after
	// it the answer is sent with its turn marked as uncommitted.
	commitTimeout = 250 * time.Millisecond
	// intentRetryInterval is the time between two attempts to write outcomes that
	// the store did not accept.
	intentRetryInterval = time.Second
)

type (
	// Options configure a Node.
	Options struct {
		Settings conf.Settings
		Log      hclog.Logger
		// AdminKey is the initial admin key or its hash; empty means none.
		AdminKey string
		// Policy creates the routing policy of a service; nil means route.Pool.
		Policy pools.NewPolicy
	}

	// Node is one instance with all its subsystems.
	Node struct {
		common    *common.Common
		epoch     uint64
		self      store.Instance
		startedAt time.Time

		platform      *store.Client
		committer     *store.Committer
		thread        *ctrl.Thread
		conns         *peer.Conns
		streams       *keys.StreamRegistry
		gossip        *gossip.Gossip
		member        *member.Member
		router        *homes.Router
		quota         *quota.Home
		driver        *prog.Driver
		intents       *prog.Intents
		pendingTurns  *progs.PendingTurns
		progs         *progs.Home
		programClient *progs.Client
		relayer       *pools.Relayer
		pools         *pools.Home
		orders        *orders.Runner
		poolClient    *pools.Client
		plain         *relay.PlainClient
		peerServer    *peer.Server
		entry         *entry.Server
		admin         *admin.Server
		operator      *admin.Operator
		group         *group.Group

		adminKey       string
		started        atomic.Bool
		draining       atomic.Bool
		stop           *drain.State
		drainRequested chan struct{}
		engineHTTP     *http.Client
		engines        *engine.Client
		newPolicy      pools.NewPolicy
	}
)

// NewNode creates every subsystem and opens the listeners; nothing runs before
// Start.
func NewNode(o Options) (*Node, error) {
	n := &Node{
		common:         common.NewCommon(o.Log, o.Settings),
		epoch:          rand.Uint64() | 1,
		adminKey:       o.AdminKey,
		newPolicy:      o.Policy,
		drainRequested: make(chan struct{}),
		stop:           &drain.State{},
		group:          group.NewGroup(context.Background()),
	}
	if n.newPolicy == nil {
		n.newPolicy = func(index *engine.CacheIndex) pools.Policy {
			return route.NewPool(route.DefaultLimits(), index)
		}
	}
	var err error
	if n.peerServer, err = peer.NewServer(n.common, o.Settings.PeerAddress); err != nil {
		return nil, errors.Trace(err)
	}
	n.common.Settings.PeerAddress = n.peerServer.Address()
	n.initControl()
	n.initHomes()
	return n, n.listen()
}

// initControl creates the platform client, the control thread, the peer
// connections, and the propagation of the text and the keys.
func (n *Node) initControl() {
	s := n.common.Settings
	n.platform = store.NewClient(s.PlatformAddress, time.Duration(s.StoreTimeout))
	n.committer = store.NewCommitter(n.platform, store.CommitterConfig{
		Interval:     time.Duration(s.CommitInterval),
		MarkerPrefix: "commit/" + strconv.FormatUint(n.epoch, 36),
	})
	n.thread = ctrl.NewThread(n.common, tickInterval)
	n.conns = peer.NewConns(n.common.Metrics)
	n.streams = keys.NewStreamRegistry()
	config := fleet.NewConfig(s, n.epoch)
	n.self = config.Self
	n.gossip = gossip.NewGossip(n.common, n.self.Name, n.thread, n.conns, n.platform, n.streams)
	n.engineHTTP = &http.Client{Transport: relay.NewTransport(relay.NewDefaultDialer())}
	n.engines = engine.NewClient(n.engineHTTP)
	n.plain = relay.NewPlainClient()
}

// initHomes creates the homes, which decide for their shards, with the drivers
// and the router that they use, connects them to each other and adds them to the
// control thread.
func (n *Node) initHomes() {
	epoch := strconv.FormatUint(n.epoch, 36)
	n.driver = prog.NewDriver(context.Background(), prog.DriverOptions{
		Core:        n.programOptions(epoch),
		Common:      n.common,
		Table:       n.platform,
		Objects:     n.platform,
		Committer:   groupCommit{n.committer},
		Random:      rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		Release:     n.releaseCaches,
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
	n.pendingTurns = progs.NewPendingTurns()
	n.progs = progs.NewHome(n.common, n.thread, n.conns, n.driver, n.pendingTurns)
	n.relayer = pools.NewRelayer(n.self.Name)
	config := fleet.NewConfig(n.common.Settings, n.epoch)
	f := fleet.NewFleet(config, n.common.Clock.Now(), rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	n.member = member.NewMember(n.common, f, n.thread, n.conns, n.platform, n.self)
	n.router = homes.NewRouter(n.member, n.conns)
	n.pools = pools.NewHome(n.common, n.thread, n.conns, n.relayer, n.router, n.engines, n.plain,
		progs.NewEndedClient(n.router, n.progs), n.newPolicy)
	n.orders = orders.NewRunner(n.common, n.self.Name+"/"+epoch, n.thread, n.platform, n.engines)
	n.member.SetFollowers(n.quota, n.progs, n.pools, n.orders)
	n.quota.SetPuller(n.member)
	n.progs.SetViewer(n.member)
	n.pools.SetViewer(n.member)
	n.gossip.Follow(n.member, textFollower{n})
	for _, system := range []ctrl.System{n.member, n.gossip, n.quota, n.progs, n.pools, n.orders} {
		n.thread.Add(system)
	}
}

func (n *Node) programOptions(epoch string) prog.Options {
	o := prog.DefaultOptions(n.self.Name, epoch)
	o.CommitTimeout = commitTimeout
	return o
}

// listen creates the clients of the homes, registers the peer handlers and opens
// the listeners for callers and operators.
func (n *Node) listen() error {
	var handlers []peer.Handler
	for _, source := range []handlerSource{n.member, n.gossip, n.quota, n.progs, n.pools} {
		handlers = append(handlers, source.Handlers()...)
	}
	s := n.common.Settings
	quotaClient := quota.NewClient(n.router, n.quota)
	n.programClient = progs.NewClient(n.common, n.router, n.progs, n.pendingTurns)
	n.peerServer.Register(append(handlers, n.programClient.Handlers()...)...)
	n.poolClient = pools.NewClient(n.common, n.router, n.pools, n.relayer)
	modelCalls := calls.NewModelExecutor(n.common, n.self.Name, n.gossip, quotaClient, n.programClient, n.poolClient, n.engines, n.stop)
	plainCalls := calls.NewPlainExecutor(n.common, n.self.Name, quotaClient, n.programClient, n.poolClient, n.intents, n.plain, n.stop)
	var err error
	n.entry, err = entry.NewServer(n.common, s.ListenAddress, n.gossip.Keys(keys.CallerKind), n.streams,
		n.gossip, n, calls.NewOpener(n.programClient), modelCalls, plainCalls)
	if err != nil {
		return errors.Trace(err)
	}
	n.operator = admin.NewOperator(n.platform, n.gossip, n)
	n.admin, err = admin.NewServer(n.common, s.AdminAddress, n.gossip.Keys(keys.AdminKind), n.operator)
	return errors.Trace(err)
}

type handlerSource interface {
	Handlers() []peer.Handler
}

// isLive reports whether the incarnation that claimed a call is presumed to be
// running. Any other incarnation of this instance has ended.
func (n *Node) isLive(d prog.Dispatcher) bool {
	if d.Instance == n.self.Name {
		return d.Epoch == strconv.FormatUint(n.epoch, 36)
	}
	m, ok := n.member.View().Member(d.Instance)
	return ok && m.Reachable
}
