package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// maxTime is the most that a case may take.
const maxTime = 115 * time.Second

// fleet is a small deployment: the store, the engines, and the program's instances as
// processes of their own.
type fleet struct {
	root    string
	dir     string
	trouble bool
	trace   *trace
	store   *store
	fronts  []*front
	engines []*engine
	ending  sync.Once
}

// front is one instance of the program.
type front struct {
	fleet    *fleet
	name     string
	settings map[string]any
	path     *storePath
	address  string
	ready    string
	file     string
	log      *os.File
	mu       sync.Mutex // guards cmd and exited
	cmd      *exec.Cmd
	exited   chan struct{}
}

// trace writes record.txt.
type trace struct {
	mu    sync.Mutex
	out   io.Writer
	start time.Time
	runs  map[string][]string // by request ID: the engines that ran it
}

func (t *trace) note(what string, fields ...any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var b strings.Builder
	_, _ = fmt.Fprintf(&b, "%8.3f %s", time.Since(t.start).Seconds(), what)
	for i := 0; i+1 < len(fields); i += 2 {
		_, _ = fmt.Fprintf(&b, " %v=%v", fields[i], fields[i+1])
	}
	_, _ = fmt.Fprintln(t.out, b.String())
}

func (t *trace) ran(id, engine, version string, r *http.Request) {
	t.note("ran", "id", id, "engine", engine, "version", version, "tenant", r.Header.Get("X-Tenant"), "lastEvent", r.Header.Get("Last-Event-Id"))
	t.mu.Lock()
	defer t.mu.Unlock()
	t.runs[id] = append(t.runs[id], engine)
}

func newFleet(root, record string) *fleet {
	out, err := os.Create(record)
	check(err)
	dir, err := os.MkdirTemp("", "review")
	check(err)
	f := &fleet{
		root: root, dir: dir, trouble: os.Getenv("TROUBLE") != "0",
		trace: &trace{out: out, start: time.Now(), runs: make(map[string][]string)},
		store: newStore(),
	}
	// A case that hangs, or is told to stop, ends its processes too.
	time.AfterFunc(maxTime, func() { f.end(2, "the case took too long") })
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-stopped
		f.end(2, "the case was stopped")
	}()
	return f
}

// freePort returns an address that nobody listens on. Its port is below those that the system
// gives to outgoing connections, so that none of them takes it before the process listens.
func freePort() string {
	for {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", 15000+rand.IntN(16000)))
		if err != nil {
			continue
		}
		defer func() { _ = l.Close() }()
		return l.Addr().String()
	}
}

// lastLine returns the last line that the process wrote.
func (p *front) lastLine() string {
	text, _ := os.ReadFile(p.log.Name())
	lines := strings.Split(strings.TrimSpace(string(text)), "\n")
	return lines[len(lines)-1]
}

// addFront adds an instance with the settings that the deploy file's template gives it.
func (f *fleet) addFront(name, zone string) *front {
	p := &front{fleet: f, name: name, path: f.store.open(), file: filepath.Join(f.dir, name+".jsonc")}
	p.address, p.ready = freePort(), freePort()
	p.settings = map[string]any{
		"instance": name, "failureDomain": zone, "callerAddress": p.address, "readyAddress": p.ready,
		"peerAddress": freePort(), "metricsAddress": freePort(), "storeAddress": p.path.address,
		"storeWriteRate": 800, "rowBytes": 65536, "memoryMB": 154, "maxDescriptors": 8200,
		"keyRevocation": "5000ms", "configDelay": "2000ms", "quotaWindow": "5s", "stopGrace": "8s", "coldOverage": 1.5,
	}
	f.fronts = append(f.fronts, p)
	return p
}

// startFronts starts all instances for the first time and waits until they are ready.
func (f *fleet) startFronts() {
	var seeds []any
	for _, p := range f.fronts[:min(3, len(f.fronts))] {
		seeds = append(seeds, p.settings["peerAddress"])
	}
	for _, p := range f.fronts {
		p.settings["seeds"] = seeds
		p.settings["firstStart"] = true
		p.start()
		p.settings["firstStart"] = false
	}
	for _, p := range f.fronts {
		if !p.waitReady(10 * time.Second) {
			f.end(2, p.name+" is not ready: "+p.lastLine())
		}
	}
}

func (p *front) start() {
	text, err := json.Marshal(p.settings)
	check(err)
	check(os.WriteFile(p.file, text, 0o600))
	if p.log == nil {
		p.log, err = os.Create(filepath.Join(p.fleet.dir, p.name+".log"))
		check(err)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cmd = exec.Command(filepath.Join(p.fleet.root, "target/buckthorntide"), "front")
	p.cmd.Dir = p.fleet.root
	p.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "BUCKTHORNTIDE_BOOT=" + p.file, "GOMAXPROCS=1"}
	p.cmd.Stdout, p.cmd.Stderr = p.log, p.log
	check(p.cmd.Start())
	p.exited = make(chan struct{})
	cmd, exited := p.cmd, p.exited
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	p.fleet.trace.note("front started", "front", p.name)
}

func (p *front) signal(s syscall.Signal) {
	p.fleet.trace.note("front signalled", "front", p.name, "signal", s)
	_ = p.cmd.Process.Signal(s)
}

func (p *front) kill() {
	p.signal(syscall.SIGKILL)
	<-p.exited
}

func (p *front) waitReady(timeout time.Duration) bool {
	client := &http.Client{Timeout: time.Second}
	for until := time.Now().Add(timeout); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		resp, err := client.Get("http://" + p.ready + "/-/readiness")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}

// end ends all processes and this one. Codes: 0 the rule held, 1 it was broken, 2 the case
// could not run.
func (f *fleet) end(code int, verdict string) {
	f.ending.Do(func() {
		f.trace.note("verdict", "code", code, "why", verdict)
		for _, p := range f.fronts {
			p.endProcess()
		}
		for _, e := range f.engines {
			e.crash()
		}
		f.store.close()
		_ = os.RemoveAll(f.dir)
		fmt.Println(verdict)
		os.Exit(code)
	})
	select {} // another goroutine ends the process
}

// endProcess kills the process, if there is one, and waits for its end.
func (p *front) endProcess() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return
	}
	_ = p.cmd.Process.Kill()
	<-p.exited
}
