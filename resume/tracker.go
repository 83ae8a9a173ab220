package resume

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"

	"github.com/buckthorntide/buckthorntide/common"
	"github.com/buckthorntide/buckthorntide/group"
	"github.com/buckthorntide/buckthorntide/rows"
	"github.com/buckthorntide/buckthorntide/site"
)

const (
	// lookupTimeout bounds the reads for one stream; a read takes about 10 ms.
	lookupTimeout = 400 * time.Millisecond
	// maxReads is how often a row is read if the read fails, and readInterval the
	// pause between two. Several idle connections to the store may have been reset.
	maxReads = 4
	// maxAsks is how many processes are asked for a stream at a time.
	maxAsks      = 16
	readInterval = 5 * time.Millisecond
	// listTimeout is how long a stream waits until a version is listed at which it
	// can begin.
	listTimeout = 300 * time.Millisecond
)

// Sources of a stream's version.
const (
	// Memory: this instance relayed the stream or looked it up before.
	Memory Source = "memory"
	// Single: the service has only one version.
	Single Source = "single"
	// Stored: the stream has a row.
	Stored Source = "store"
	// Peer: a process that may have begun the stream knows it.
	Peer Source = "peer"
	// Base: the stream has no row, and those without one began at the service's base.
	Base Source = "base"
	// Unknown: there is no source.
	Unknown Source = "unknown"
)

type (
	// Source is how the version of a stream was found.
	Source string

	// Views provide the current view of the deployment.
	Views interface {
		View() *site.View
		// Age returns an upper bound on the age of the view; ok is false before the
		// first read.
		Age(now time.Duration) (age time.Duration, ok bool)
	}

	// Config identifies this process and its fleet.
	Config struct {
		// Process is unique among all processes of all instances.
		Process string
		// Instances returns how many instances there are.
		Instances func() int
		// StoreWriteRate is how many write calls a second the store takes from all
		// instances together.
		StoreWriteRate int
	}

	// Peers asks other instances for streams.
	Peers interface {
		// StreamOrigin asks the process for the stream with the key; ok is false if it
		// doesn't know it.
		StreamOrigin(ctx context.Context, process, key string) (origin Origin, ok bool, err error)
	}

	// Tracker knows the versions of each service and finds those of streams. It is
	// safe for concurrent use.
	Tracker struct {
		log    hclog.Logger
		store  rows.Store
		views  Views
		peers  Peers
		config Config
		memory *memory
		writer *writer
		found  map[Source]metrics.Counter
		group  *group.Group
		wake   chan struct{}
		// now is common.Uptime, except in tests.
		now func() time.Duration

		mu     sync.Mutex
		states map[string]*state
		// changed is closed and replaced at each change of a state.
		changed chan struct{}
		writes  int
	}
)

// NewTracker returns a tracker; Start must be called before streams begin, Close
// after that.
func NewTracker(log hclog.Logger, store rows.Store, views Views, peers Peers, registry metrics.Registry, config Config) *Tracker {
	t := &Tracker{
		log:     log,
		store:   store,
		views:   views,
		peers:   peers,
		config:  config,
		memory:  newMemory(),
		writer:  newWriter(log, store, registry, config),
		found:   make(map[Source]metrics.Counter),
		group:   group.NewGroup(context.Background()),
		wake:    make(chan struct{}, 1),
		now:     common.Uptime,
		states:  make(map[string]*state),
		changed: make(chan struct{}),
	}
	for _, s := range []Source{Memory, Single, Stored, Peer, Base, Unknown} {
		t.found[s] = metrics.GetOrRegisterCounter("resume.found."+string(s), registry)
	}
	return t
}

// Start starts to list versions and to write streams.
func (t *Tracker) Start() {
	t.group.Go(t.run)
	t.writer.group.Go(t.writer.run)
}

// Close stops both and waits for them. If all streams are stored, nobody needs to ask this
// process for any.
func (t *Tracker) Close() {
	t.group.Close()
	t.writer.group.Close()
	if t.writer.unwritten() == 0 {
		t.withdraw()
	}
}

// Origin returns where the stream with the key began, if it did at this instance.
func (t *Tracker) Origin(key string) (Origin, bool) { return t.memory.get(key, t.now()) }

// Apply takes over rows of the versions table.
func (t *Tracker) Apply(found []rows.Row) {
	for _, r := range found {
		// Rows of other parts are other writers'.
		if r.ID == versionID(r.Key) {
			t.apply(r)
		}
	}
}

// apply takes over a row if it is newer than the known one.
func (t *Tracker) apply(r rows.Row) {
	now := t.now()
	t.mu.Lock()
	s := t.state(r.Key)
	if r.Version <= s.row.Version {
		t.mu.Unlock()
		return
	}
	versions, err := decodeListing(r)
	wasMixed := mixed(s.versions)
	s.replace(r, versions, now)
	close(t.changed)
	t.changed = make(chan struct{})
	t.mu.Unlock()
	if err != nil {
		t.log.Error("versions of the service can't be decoded; only streams with a row go on", "service", r.Key, "rowVersion", r.Version, "error", err)
	}
	if mixed(versions) == wasMixed {
		return
	}
	t.log.Info("software versions of the service changed", "service", r.Key, "mixed", mixed(versions), "versions", versions, "rowVersion", r.Version)
	if mixed(versions) {
		// Other instances can't know these streams yet.
		t.writer.add(t.memory.ofService(r.Key, now)...)
	}
}

// state returns the service's state. The caller holds the lock.
func (t *Tracker) state(service string) *state {
	s, ok := t.states[service]
	if !ok {
		s = &state{absentSince: make(map[string]time.Duration), retiringSince: make(map[string]time.Duration)}
		t.states[service] = s
	}
	return s
}

// replace sets the row and keeps the times that go on.
func (s *state) replace(r rows.Row, versions []Listed, now time.Duration) {
	retiringSince := make(map[string]time.Duration)
	for _, l := range versions {
		if l.Retiring == "" {
			continue
		}
		mark := l.Version + "/" + l.Retiring
		since, ok := s.retiringSince[mark]
		if !ok {
			since = now
		}
		retiringSince[mark] = since
	}
	before, was := base(s.versions)
	if after, is := base(versions); is && (!was || after.Base != before.Base) {
		s.baseSince = now
	}
	s.row, s.versions, s.retiringSince = r, versions, retiringSince
}

func (t *Tracker) versions(service string) []Listed {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s, ok := t.states[service]; ok {
		return s.versions
	}
	return nil
}

// Versions returns the software versions at which streams of the service may begin
// now. It waits a little until there is one that takes requests.
func (t *Tracker) Versions(ctx context.Context, service string) []string {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	for {
		if age, ok := t.views.Age(t.now()); !ok || age > maxViewAge {
			return []string{}
		}
		t.mu.Lock()
		changed := t.changed
		t.mu.Unlock()
		listed := t.beginnable(service)
		usable, unlisted := survey(t.views.View(), service, listed)
		if unlisted {
			t.notify()
		}
		if usable || !unlisted {
			return listed
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return listed
		}
	}
}

// ListedVersions returns the versions at which streams of the service may begin, as
// far as they are listed now. Unlike Versions it neither waits nor asks for a listing.
func (t *Tracker) ListedVersions(service string) []string {
	if age, ok := t.views.Age(t.now()); !ok || age > maxViewAge {
		return []string{}
	}
	return t.beginnable(service)
}

// beginnable returns the versions at which streams may begin: the base alone until this
// process has announced that others begin as well.
func (t *Tracker) beginnable(service string) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.state(service)
	listed := active(s.versions)
	if only, ok := base(s.versions); ok && s.announced != only.Base {
		return slices.DeleteFunc(listed, func(v string) bool { return v != only.Version })
	}
	return listed
}

// survey reports whether the service has upstreams of the versions that take requests,
// and whether it has upstreams of other versions.
func survey(view *site.View, service string, versions []string) (usable, others bool) {
	for _, u := range view.Pool(service) {
		if !slices.Contains(versions, u.SoftwareVersion) {
			others = true
			continue
		}
		usable = usable || u.State == site.Ready && !view.DomainExcluded(u.FailureDomain)
	}
	return usable, others
}

// Began remembers the version that began a stream, whose caller waits for the given
// time; 0 means unknown. It must be called before the caller gets the first event, and the
// caller must get none after ErrNotAnnounced.
func (t *Tracker) Began(s Stream, origin Origin, left time.Duration) error {
	now := t.now()
	if !t.mayBegin(origin) {
		return ErrNotAnnounced
	}
	r := newRecord(s, origin, left, now)
	t.memory.put(r, now)
	if mixed(t.versions(origin.Service)) {
		t.writer.add(r)
	}
	return nil
}

// mayBegin reports whether other instances won't take the stream for one of the base, or
// know that they must ask.
func (t *Tracker) mayBegin(origin Origin) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.state(origin.Service)
	only, ok := base(s.versions)
	return !ok || s.announced == only.Base || !origin.Unknown && origin.Version == only.Version
}

// Find returns the software version at which a stream of the service goes on, whose
// caller waits for the given time. ErrUnknown means that it must go on nowhere.
func (t *Tracker) Find(ctx context.Context, s Stream, service string, left time.Duration) (string, Source, error) {
	version, source, err := t.find(ctx, s, service)
	t.found[source].Inc(1)
	if err == nil && source != Memory {
		now := t.now()
		t.memory.put(newRecord(s, Origin{Service: service, Version: version}, left, now), now)
	}
	return version, source, err
}

func (t *Tracker) find(ctx context.Context, s Stream, service string) (string, Source, error) {
	if s.ID == "" {
		return "", Unknown, errors.Annotate(ErrUnknown, "the stream is not named")
	}
	if origin, ok := t.memory.get(s.key(), t.now()); ok {
		return checkOrigin(origin, service, Memory)
	}
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	var stored error
	if mixed(t.versions(service)) {
		origin, err := t.readStream(ctx, s)
		if err == nil {
			return checkOrigin(origin, service, Stored)
		}
		stored = err
	}
	// What is known of the versions may be out of date, and another instance may just
	// have listed one and begun the stream there.
	if err := t.readVersions(ctx, service); err != nil {
		return "", Unknown, errors.WithType(errors.Annotate(err, "versions of the service"), ErrUnknown)
	}
	versions := t.versions(service)
	if version, ok := single(versions); ok {
		return version, Single, nil
	}
	if len(versions) == 0 {
		return "", Unknown, errors.Annotate(ErrUnknown, "no version is listed")
	}
	if stored == nil {
		origin, err := t.readStream(ctx, s)
		if err == nil {
			return checkOrigin(origin, service, Stored)
		}
		stored = err
	}
	if only, ok := base(versions); ok && errors.Is(stored, errNoRow) {
		return t.findWithoutRow(ctx, s, service, only)
	}
	return "", Unknown, errors.WithType(stored, ErrUnknown)
}

// findWithoutRow asks the processes that may have begun the stream beside the base.
func (t *Tracker) findWithoutRow(ctx context.Context, s Stream, service string, only Listed) (string, Source, error) {
	announced, err := t.readAnnounced(ctx, service, only.Base)
	if err != nil {
		return "", Unknown, errors.WithType(errors.Annotate(err, "processes that may have begun the stream"), ErrUnknown)
	}
	var mu sync.Mutex
	var found *Origin
	var asks errgroup.Group
	asks.SetLimit(maxAsks)
	for _, process := range announced {
		if process == t.config.Process {
			continue
		}
		asks.Go(func() error {
			origin, ok, err := t.peers.StreamOrigin(ctx, process, s.key())
			if err != nil || !ok {
				return errors.Annotatef(err, "process %s, which may have begun the stream", process)
			}
			mu.Lock()
			defer mu.Unlock()
			found = &origin
			return nil
		})
	}
	err = asks.Wait()
	switch {
	case found != nil:
		return checkOrigin(*found, service, Peer)
	case err != nil:
		return "", Unknown, errors.WithType(err, ErrUnknown)
	default:
		return only.Version, Base, nil
	}
}

// checkOrigin returns the version of a stream of the service, from the source.
func checkOrigin(origin Origin, service string, source Source) (string, Source, error) {
	switch {
	case origin.Unknown:
		return "", Unknown, errors.Annotate(ErrUnknown, "the upstream was started again")
	case origin.Service != service:
		return "", Unknown, errors.Annotatef(ErrUnknown, "the stream began at service %s", origin.Service)
	default:
		return origin.Version, source, nil
	}
}

// readVersions reads the service's row from the store.
func (t *Tracker) readVersions(ctx context.Context, service string) error {
	row, err := t.read(ctx, versionID(service))
	if err == nil {
		t.apply(row)
	}
	return err
}

func (t *Tracker) readStream(ctx context.Context, s Stream) (Origin, error) {
	row, err := t.read(ctx, streamID(s.key()))
	if err != nil {
		return Origin{}, errors.Annotate(err, "the stream's row")
	}
	if row.Version == 0 {
		return Origin{}, errNoRow
	}
	return decodeOrigin(row.Value)
}

// read returns the row, with version 0 if it doesn't exist.
func (t *Tracker) read(ctx context.Context, id rows.ID) (rows.Row, error) {
	query := rows.Query{Table: id.Table, Part: id.Part, From: id.Key, To: id.Key + "\x00", Limit: 1}
	page, err := t.store.Range(ctx, query)
	for tries := 1; err != nil && !errors.Is(err, rows.ErrBusy) && tries < maxReads && group.Sleep(ctx, readInterval); tries++ {
		page, err = t.store.Range(ctx, query)
	}
	if err != nil || len(page.Rows) == 0 {
		return rows.Row{ID: id}, err
	}
	return page.Rows[0], nil
}

// services returns the services that have a row.
func (t *Tracker) services() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Sorted(maps.Keys(t.states))
}

// Dump returns the listed versions by service.
func (t *Tracker) Dump() map[string][]Listed {
	t.mu.Lock()
	defer t.mu.Unlock()
	dump := make(map[string][]Listed, len(t.states))
	for service, s := range t.states {
		dump[service] = s.versions
	}
	return dump
}
