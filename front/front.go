// Package front assembles an instance for the platform: it wires the parts that
// serve callers' requests, and starts and stops them.
package front

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/buckthorntide/buckthorntide/budget"
	"github.com/buckthorntide/buckthorntide/bypass"
	"github.com/buckthorntide/buckthorntide/common"
	"github.com/buckthorntide/buckthorntide/conf"
	"github.com/buckthorntide/buckthorntide/crash"
	"github.com/buckthorntide/buckthorntide/drain"
	"github.com/buckthorntide/buckthorntide/group"
	"github.com/buckthorntide/buckthorntide/memory"
	"github.com/buckthorntide/buckthorntide/peer"
	"github.com/buckthorntide/buckthorntide/peers"
	"github.com/buckthorntide/buckthorntide/pick"
	"github.com/buckthorntide/buckthorntide/platform"
	"github.com/buckthorntide/buckthorntide/proxy"
	"github.com/buckthorntide/buckthorntide/relay"
	"github.com/buckthorntide/buckthorntide/resume"
	"github.com/buckthorntide/buckthorntide/roster"
	"github.com/buckthorntide/buckthorntide/share"
	"github.com/buckthorntide/buckthorntide/turns"
	"github.com/buckthorntide/buckthorntide/watch"
)

const (
	// upstreamConnectTimeout bounds connecting to an upstream, and
	// upstreamAckTimeout the time until sent data is acknowledged. A round trip
	// between failure domains takes about 3 ms, and a lost packet is retransmitted
	// after 200 ms.
	upstreamConnectTimeout = 250 * time.Millisecond
	upstreamAckTimeout     = 700 * time.Millisecond
	// storeConnectTimeout bounds connecting to the store.
	storeConnectTimeout = 500 * time.Millisecond
	// keyMargin is subtracted from the time within which a withdrawn key must stop
	// working. The age of keys counts from before the request to the store, so the
	// margin only covers the resolution of timers.
	keyMargin = 100 * time.Millisecond
	// fileDescriptors are those for files, peers, the store and the other listeners.
	fileDescriptors = 200
	// idleConnBytes is what an idle connection costs: the goroutine's stack, two buffers of
	// 4 KB and its entries.
	idleConnBytes = 20 << 10
	// minConns bounds the limit of connections from below.
	minConns = 16
	// maxHeaderBytes bounds the header of a request.
	maxHeaderBytes = 64 << 10
	// displacedInterval is the pause between two log lines on closed connections.
	displacedInterval = time.Second
	// idleBudgetTTL is how long the budget of a program without turns is kept in
	// memory.
	idleBudgetTTL = 2 * time.Minute
	// callerIdleTimeout bounds the idle time of a caller's connection. It exceeds
	// the callers' own idle timeout, so that they close first.
	callerIdleTimeout = 90 * time.Second
	// registrationTime is how long an instance that started waits for its
	// registration before it is ready: until then it has no share of quotas.
	registrationTime = time.Second
	// rosterInterval and heavyInterval are the pauses between two reads of the
	// changes of the roster and of the table of heavy programs. A home marks its
	// own heavy programs at once; one that is new grants nothing to the programs that
	// moved to it until it has read the table again.
	rosterInterval = 700 * time.Millisecond
	heavyInterval  = 2 * time.Second
	// versionInterval is the pause between two reads of the changes of the versions
	// of services, which are rare. Streams begin at a version once it is known.
	versionInterval = 50 * time.Millisecond
	// crashInterval is the same for crashes of upstreams, of which a request that crashes
	// them causes several within seconds.
	crashInterval = 200 * time.Millisecond
	// headerTimeout bounds the read of a request's header.
	headerTimeout = 10 * time.Second
)

// Indices of the listeners.
const (
	callerListener = iota
	readyListener
	metricsListener
)

// Front is one instance. Start and then Close must be called once each.
type Front struct {
	settings conf.FrontSettings
	// reloadable are the latest settings, for those that may change at run time.
	reloadable atomic.Pointer[conf.FrontSettings]
	log        hclog.Logger
	common     *common.Common
	group      *group.Group
	direct     *platform.Store
	store      *bypass.Store
	roster     *roster.Roster
	// registering is held while this instance writes its row, witnesses are those that the
	// row names.
	registering   sync.Mutex
	witnesses     atomic.Pointer[[]string]
	conns         *peer.Conns
	peers         *peers.Client
	watcher       *watch.Watcher
	ledger        *budget.Ledger
	broker        *budget.Broker
	buckets       *share.Buckets
	limiter       *share.Limiter
	keeper        *turns.Keeper
	streams       *resume.Tracker
	crashes       *crash.Tracker
	memory        *memory.Account
	picker        *pick.Picker
	transport     *relay.Transport
	proxy         *proxy.Proxy
	peerServer    *peer.Server
	callerServer  *drain.Server
	readyServer   *http.Server
	metricsServer *http.Server
	listeners     []net.Listener
	stopping      atomic.Bool
	startedAt     time.Duration
}

// NewFront returns an instance that listens on its addresses; Start serves them.
func NewFront(settings conf.FrontSettings, log hclog.Logger) (*Front, error) {
	f := &Front{
		settings:  settings,
		log:       log,
		common:    common.NewCommon(log, conf.DefaultSettings()),
		group:     group.NewGroup(context.Background()),
		startedAt: common.Uptime(),
		direct:    platform.NewStore(settings.StoreAddress, storeConnectTimeout),
		memory:    memory.NewAccount(memory.Limit(settings.MemoryMB << 20)),
		picker:    pick.NewPicker(),
		transport: relay.NewTransport(relay.NewDialer(upstreamConnectTimeout, upstreamAckTimeout)),
	}
	f.reloadable.Store(&settings)
	f.roster = roster.NewRoster(roster.Entry{
		Name:          settings.Instance,
		Address:       settings.PeerAddress,
		FailureDomain: settings.FailureDomain,
		Start:         time.Now().UnixNano(),
	})
	f.conns = peer.NewConns(f.common.Metrics)
	f.peers = peers.NewClient(log.Named("mates"), f.roster, f.conns, settings.Seeds)
	f.store = bypass.NewStore(f.direct, f.peers, func() bool { return f.watcher.StoreDown() })
	f.ledger = budget.NewLedger(log.Named("budget"), f.store, f.peers, f.roster.Self().HolderName(),
		budget.Config{
			StoreDown:    func() bool { return f.watcher.StoreDown() },
			StoreReached: func() time.Duration { return f.watcher.Reached() },
			HeavyReadAt: func() time.Duration {
				return min(f.watcher.ReadAt(budget.HeavyTable), f.watcher.ReadAt(roster.Table))
			},
			IdleTTL:        idleBudgetTTL,
			RecordDelay:    budget.RecordDelay,
			StoreTimeout:   budget.StoreTimeout,
			RecordInterval: budget.RecordInterval,
			Metrics:        f.common.Metrics,
		})
	f.peers.Serve(f.ledger, f.store)
	f.broker = budget.NewBroker(log.Named("budget"), f.ledger, f.peers)
	f.watcher = watch.NewWatcher(log.Named("watch"), f.direct, platform.Decoder{}, f.peers,
		watch.Events{Works: f.store.ResetBackoff, Lost: f.store.SetLost})
	if settings.FirstStart {
		f.watcher.FirstStart()
	}
	f.buckets = share.NewBuckets(f.roster.Rank, common.Uptime())
	f.limiter = share.NewLimiter(f.buckets, f.peers)
	f.keeper = turns.NewKeeper(log.Named("turns"), f.store, f.peers, turns.Config{
		RowBytes:   settings.RowBytes,
		CacheBytes: settings.MemoryMB << 20 / memory.CacheDivisor,
		StoreLost:  f.store.Lost,
	})
	f.streams = resume.NewTracker(log.Named("resume"), f.store, f.watcher, f.peers, f.common.Metrics,
		resume.Config{Process: f.roster.Self().HolderName(), Instances: f.peers.Instances, StoreWriteRate: settings.StoreWriteRate})
	f.crashes = crash.NewTracker(crash.Config{
		Log:      log.Named("crash"),
		Store:    f.store,
		Views:    f.watcher,
		Peers:    f.peers,
		Registry: f.common.Metrics,
		Dial:     f.transport.DialContext,
		Clock:    f.direct.Time,
		Process:  f.roster.Self().HolderName(),
	})
	f.proxy = proxy.NewProxy(proxy.Deps{
		Log:       log.Named("gate"),
		Metrics:   f.common.Metrics,
		Codec:     platform.Codec{},
		Views:     f.watcher,
		Quotas:    f.limiter,
		Budgets:   f.broker,
		Turns:     f.keeper,
		Streams:   f.streams,
		Picker:    f.picker,
		Crashes:   f.crashes,
		Memory:    f.memory,
		Transport: f.transport,
	}, proxyConfig(settings))
	if err := f.listen(); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

// Reload applies changed settings. Names and addresses keep their values from the
// start of the process.
func (f *Front) Reload(settings conf.FrontSettings) {
	f.reloadable.Store(&settings)
	f.proxy.Configure(proxyConfig(settings))
	f.memory.Resize(memory.Limit(settings.MemoryMB << 20))
	f.log.SetLevel(hclog.LevelFromString(settings.LogLevel))
	f.log.Info("settings reloaded", "keyRevocation", time.Duration(settings.KeyRevocation),
		"configDelay", time.Duration(settings.ConfigDelay), "stopGrace", time.Duration(settings.StopGrace),
		"coldOverage", settings.ColdOverage, "addressesChanged", !sameAddresses(f.settings, settings))
}

func sameAddresses(a, b conf.FrontSettings) bool {
	return a.Instance == b.Instance && a.CallerAddress == b.CallerAddress && a.ReadyAddress == b.ReadyAddress &&
		a.PeerAddress == b.PeerAddress && a.MetricsAddress == b.MetricsAddress && a.StoreAddress == b.StoreAddress
}

func proxyConfig(settings conf.FrontSettings) proxy.Config {
	return proxy.Config{
		FailureDomain: settings.FailureDomain,
		KeyMaxAge:     keyMaxAge(settings),
		RouteMaxAge:   time.Duration(settings.ConfigDelay),
		QuotaWindow:   time.Duration(settings.QuotaWindow),
		ColdBurst:     max(0, settings.ColdOverage-1),
	}
}

func keyMaxAge(settings conf.FrontSettings) time.Duration {
	return time.Duration(settings.KeyRevocation) - keyMargin
}

func (f *Front) listen() error {
	server, err := peer.NewServer(f.common, f.settings.PeerAddress)
	if err != nil {
		return errors.Trace(err)
	}
	f.peerServer = server
	f.peerServer.Register(f.peers.Handlers(f.buckets, f.keeper, f.watcher, f.direct, f.crashes, f.streams)...)
	f.readyServer = &http.Server{Handler: http.HandlerFunc(f.serveReady), ReadHeaderTimeout: headerTimeout}
	f.metricsServer = &http.Server{Handler: f.newMetricsHandler(), ReadHeaderTimeout: headerTimeout}
	for _, address := range []string{f.settings.CallerAddress, f.settings.ReadyAddress, f.settings.MetricsAddress} {
		l, err := net.Listen("tcp", address)
		if err != nil {
			return errors.Annotate(err, "listen")
		}
		f.listeners = append(f.listeners, l)
	}
	f.callerServer = drain.NewServer(f.listeners[callerListener], &http.Server{
		Handler:           f.proxy,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       callerIdleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	})
	f.limitConns()
	return nil
}

// limitConns bounds callers' connections by the descriptors and the memory of the process.
// Each of them may have one to an upstream in use.
func (f *Front) limitConns() {
	byDescriptors := (f.settings.MaxDescriptors - fileDescriptors) / 2
	byMemory := f.settings.MemoryMB << 20 / memory.ConnDivisor / idleConnBytes
	limit := max(minConns, min(byDescriptors, byMemory))
	f.transport.MaxIdleConns = limit
	closed := metrics.GetOrRegisterCounter("callers.closed", f.common.Metrics)
	f.common.Metrics.GetOrRegister("callers.open", func() metrics.Gauge {
		return metrics.NewFunctionalGauge(func() int64 {
			n := f.callerServer.Counts()
			return int64(n.Fresh + n.Active + n.Idle)
		})
	})
	var loggedAt time.Duration
	// The server accepts connections one at a time.
	f.callerServer.LimitConns(limit, func(total int) {
		closed.Inc(1)
		if now := common.Uptime(); loggedAt == 0 || now-loggedAt >= displacedInterval {
			loggedAt = now
			f.log.Warn("too many callers' connections; closing those without a request", "limit", limit, "closed", total)
		}
	})
}

// Start runs all parts in the background and registers the instance.
func (f *Front) Start() {
	f.peerServer.Start()
	f.watcher.Require(roster.Table)
	f.watcher.Require(resume.VersionTable)
	f.watcher.Require(crash.Table)
	f.watcher.Start()
	f.watcher.Follow(roster.Table, rosterInterval, f.replaceRoster, f.applyRosterRows)
	f.watcher.Follow(budget.HeavyTable, heavyInterval, f.ledger.LoadHeavyPrograms, f.ledger.UpdateHeavyPrograms)
	f.watcher.Follow(resume.VersionTable, versionInterval, f.streams.Apply, f.streams.Apply)
	f.watcher.Follow(crash.Table, crashInterval, f.crashes.Apply, f.crashes.Apply)
	f.streams.Start()
	f.crashes.Start()
	f.group.Go(f.registerWhenReady)
	f.group.Go(f.removeLost)
	f.group.Go(f.askHandovers)
	f.group.Go(f.keepWitnesses)
	f.group.Go(func(context.Context) { f.logServe(callerListener, f.callerServer.Serve()) })
	f.group.Go(func(context.Context) { f.logServe(readyListener, f.readyServer.Serve(f.listeners[readyListener])) })
	f.group.Go(func(context.Context) {
		f.logServe(metricsListener, f.metricsServer.Serve(f.listeners[metricsListener]))
	})
	f.log.Info("instance started", "instance", f.settings.Instance, "domain", f.settings.FailureDomain,
		"callers", f.settings.CallerAddress, "peers", f.settings.PeerAddress, "store", f.settings.StoreAddress)
}

// logServe logs why the server of a listener has ended, unless it was stopped.
func (f *Front) logServe(listener int, err error) {
	if err != nil && !errors.Is(err, http.ErrServerClosed) {
		f.log.Error("HTTP server failed", "address", f.listeners[listener].Addr().String(), "error", err)
	}
}

// Close stops all parts without a drain and waits for them.
func (f *Front) Close() {
	if f.callerServer != nil {
		f.callerServer.Close()
	}
	for _, server := range []*http.Server{f.readyServer, f.metricsServer} {
		if server != nil {
			_ = server.Close()
		}
	}
	for _, l := range f.listeners {
		_ = l.Close()
	}
	f.group.Close()
	f.watcher.Close()
	f.broker.Close()
	f.ledger.Close()
	f.keeper.Close()
	f.streams.Close()
	f.crashes.Close()
	if f.peerServer != nil {
		f.peerServer.Close()
	}
	f.store.Close()
	f.conns.Close()
	f.transport.CloseIdleConnections()
	f.direct.Close()
}

func (f *Front) serveReady(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != platform.ReadyPath {
		http.NotFound(w, r)
		return
	}
	if reason := f.notReady(); reason != "" {
		http.Error(w, reason, http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ready\n")
}

// notReady returns why the balancer should send no new connections, or an empty
// string.
func (f *Front) notReady() string {
	age, known := f.watcher.Age(common.Uptime())
	switch {
	case f.stopping.Load():
		return "stopping"
	case !known || f.watcher.View().Version == 0:
		return "no configuration is known yet"
	case age > keyMaxAge(*f.reloadable.Load()):
		return "the configuration is too old"
	case !f.roster.Listed() && common.Uptime() < f.startedAt+registrationTime:
		return "not registered yet"
	default:
		return ""
	}
}
