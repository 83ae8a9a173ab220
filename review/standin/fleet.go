package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	deployFile = "deploy/system.toml"
	bootName   = "BUCKTHORNTIDE_BOOT"
	// bounds of a small deployment, as the pages' example has them.
	graceS    = 8
	revokeMs  = 5000
	configMs  = 2000
	contactMs = 3000
	drainMs   = 2000
)

var (
	sectionPattern = regexp.MustCompile(`\{\{#([a-z_.0-9]+)\}\}(.*?)\{\{/[a-z_.0-9]+\}\}`)
	valuePattern   = regexp.MustCompile(`\{\{([a-z_.0-9]+)(\|json)?\}\}`)
	runPattern     = regexp.MustCompile(`(?m)^run = "(.*)"`)
	templPattern   = regexp.MustCompile(`(?m)^template = "(.*)"`)
)

type (
	// instance is one process of the system, on a loopback address.
	instance struct {
		record *record
		name   string
		zone   string
		front  string
		ready  string
		// control is the address for the other instances.
		control string
		metrics string
		path    *storePath
		seeds   []string
		dir     string
		starts  int
		process *exec.Cmd
		exited  chan struct{}
		// life guards the process, which isn't started any more once closed is set.
		life     sync.Mutex
		closed   bool
		mu       sync.Mutex
		rotation bool
		misses   int
		// touchAt is from when the machine counts as in touch after a start; it is the
		// zero time while it is stopped.
		touchAt time.Time
	}

	// fleet is the system's instances with the store, the engines and the balancer.
	fleet struct {
		record    *record
		store     *store
		instances []*instance
		mu        sync.Mutex
		engines   []*engine
		dir       string
		stopped   chan struct{}
	}
)

// newFleet returns instances in zones of their own; start starts them.
func newFleet(rec *record, zones ...string) *fleet {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		cannotRun(err)
	}
	f := &fleet{record: rec, store: newStore(), dir: dir, stopped: make(chan struct{})}
	var seeds []string
	for _, zone := range zones {
		in := &instance{
			record: rec, name: "front-" + zone + "-1", zone: zone, dir: dir, path: f.store.newPath(),
			front: freeAddress(), ready: freeAddress(), control: freeAddress(), metrics: freeAddress(),
		}
		f.instances = append(f.instances, in)
		seeds = append(seeds, in.control)
	}
	for _, in := range f.instances {
		// The platform names three machines at most.
		in.seeds = seeds[max(0, len(seeds)-3):]
	}
	return f
}

// addEngine starts an engine of the service.
func (f *fleet) addEngine(id, service, zone string, slots int, workTime time.Duration) *engine {
	e := &engine{store: f.store, record: f.record, id: id, service: service, zone: zone, slots: slots, workTime: workTime}
	f.startEngine(e)
	return e
}

// startEngine starts the engine, unless the case has ended.
func (f *fleet) startEngine(e *engine) {
	f.mu.Lock()
	defer f.mu.Unlock()
	select {
	case <-f.stopped:
		return
	default:
	}
	e.start()
	f.engines = append(f.engines, e)
}

// start starts all instances and waits until they are ready.
func (f *fleet) start() {
	for _, in := range f.instances {
		in.start()
		in.setTouch(time.Now().Add(contactMs * time.Millisecond))
	}
	go f.balance()
	deadline := time.Now().Add(25 * time.Second)
	for !f.allReady() {
		for _, in := range f.instances {
			in.startAgain()
		}
		if time.Now().After(deadline) {
			cannotRun(fmt.Errorf("the instances did not become ready"))
		}
		time.Sleep(50 * time.Millisecond)
	}
	f.record.write("all %d instances are ready", len(f.instances))
}

func (f *fleet) allReady() bool {
	for _, in := range f.instances {
		if !in.inRotation() {
			return false
		}
	}
	return true
}

// balance asks each instance once a second whether it is ready.
func (f *fleet) balance() {
	for {
		for _, in := range f.instances {
			in.check()
		}
		select {
		case <-time.After(time.Second):
		case <-f.stopped:
			return
		}
	}
}

func (in *instance) check() {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + in.ready + "/-/readiness")
	ok := err == nil && resp.StatusCode == http.StatusOK
	if err == nil {
		_ = resp.Body.Close()
	}
	in.mu.Lock()
	defer in.mu.Unlock()
	if ok {
		in.rotation, in.misses = true, 0
		return
	}
	in.misses++
	if in.misses >= 2 {
		in.rotation = false
	}
}

func (in *instance) setTouch(at time.Time) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.touchAt = at
}

// inTouch reports whether the machine counts as in touch at the time.
func (in *instance) inTouch(at time.Time) bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	return !in.touchAt.IsZero() && at.After(in.touchAt)
}

func (in *instance) inRotation() bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.rotation
}

// pick returns the instance that the balancer gives a client: the n-th of those in
// rotation, or of all if there is none.
func (f *fleet) pick(n int) *instance {
	var found []*instance
	for _, in := range f.instances {
		if in.inRotation() {
			found = append(found, in)
		}
	}
	if len(found) == 0 {
		found = f.instances
	}
	return found[n%len(found)]
}

// storeState changes the condition of the whole store, also for the engines.
func (f *fleet) storeState(state pathState) {
	for _, in := range f.instances {
		in.path.set(state)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range f.engines {
		e.reach(state == pathSound)
	}
}

// close ends all processes that were started.
func (f *fleet) close() {
	for _, in := range f.instances {
		in.close()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	close(f.stopped)
	for _, e := range f.engines {
		e.stop()
	}
	_ = os.RemoveAll(f.dir)
}

// start starts the process, unless the case has ended.
func (in *instance) start() {
	in.life.Lock()
	var err error
	if !in.closed {
		err = in.launch()
	}
	in.life.Unlock()
	if err != nil {
		cannotRun(err)
	}
}

// startAgain starts the process if it has ended by itself, as the platform does.
func (in *instance) startAgain() {
	select {
	case <-in.exited:
		in.record.write("%s has ended by itself", in.name)
		in.start()
	default:
	}
}

// launch starts the process with the deploy file's command and template.
func (in *instance) launch() error {
	deploy, err := os.ReadFile(deployFile)
	if err != nil {
		return err
	}
	run, templateFile := runPattern.FindSubmatch(deploy), templPattern.FindSubmatch(deploy)
	if run == nil || templateFile == nil {
		return fmt.Errorf("%s has no command or no template", deployFile)
	}
	template, err := os.ReadFile(string(templateFile[1]))
	if err != nil {
		return err
	}
	in.starts++
	boot := filepath.Join(in.dir, in.name+".jsonc")
	if err := os.WriteFile(boot, []byte(render(string(template), in.settings())), 0o600); err != nil {
		return err
	}
	logDir := in.dir
	if dir := os.Getenv("REVIEW_LOGS"); dir != "" {
		logDir = dir
	}
	log, err := os.OpenFile(filepath.Join(logDir, in.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	words := strings.Fields(string(run[1]))
	in.process = exec.Command(words[0], words[1:]...)
	in.process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "GOMAXPROCS=1", bootName + "=" + boot}
	in.process.Stdout, in.process.Stderr = log, log
	if err := in.process.Start(); err != nil {
		in.process = nil
		return err
	}
	in.exited = make(chan struct{})
	go func(process *exec.Cmd, exited chan struct{}) {
		_ = process.Wait()
		close(exited)
	}(in.process, in.exited)
	in.record.write("%s is started", in.name)
	return nil
}

func (in *instance) signal(s syscall.Signal) { _ = in.process.Process.Signal(s) }

// kill ends the process at once.
func (in *instance) kill() {
	in.life.Lock()
	defer in.life.Unlock()
	if in.process == nil {
		return
	}
	in.signal(syscall.SIGKILL)
	<-in.exited
}

// close ends the process, which isn't started again.
func (in *instance) close() {
	in.kill()
	in.life.Lock()
	defer in.life.Unlock()
	in.closed = true
	if in.process != nil {
		in.signal(syscall.SIGKILL)
		<-in.exited
	}
}

// settings are the fields that the platform fills the template with.
func (in *instance) settings() map[string]any {
	return map[string]any{
		"node_name": in.name,
		"zone":      in.zone,
		"ip":        strings.Split(in.metrics, ":")[0],
		"listen":    map[string]any{"front": in.front, "ready_addr": in.ready, "control": in.control},
		// The second port is the one that the template uses.
		"internal_ports": []any{0, strings.Split(in.metrics, ":")[1]},
		"seeds":          in.seeds,
		"bootstrap":      in.starts == 1,
		"limits":         map[string]any{"memory_mb": 154},
		"bounds": map[string]any{
			"revoke_ms": revokeMs, "config_ms": configMs, "quota_window_s": 5, "grace_s": graceS, "cold_overage": 1.5,
		},
		"platform": map[string]any{"addr": in.path.address(), "writes_per_s": 800, "row_bytes": 65536},
	}
}

// render fills the template in as far as the project's one needs.
func render(template string, fields map[string]any) string {
	template = sectionPattern.ReplaceAllStringFunc(template, func(section string) string {
		parts := sectionPattern.FindStringSubmatch(section)
		value := lookup(fields, parts[1])
		if value == nil || value == false {
			return ""
		}
		return strings.ReplaceAll(parts[2], "{{.}}", fmt.Sprint(value))
	})
	return valuePattern.ReplaceAllStringFunc(template, func(placeholder string) string {
		parts := valuePattern.FindStringSubmatch(placeholder)
		value := lookup(fields, parts[1])
		if parts[2] == "" {
			return fmt.Sprint(value)
		}
		encoded, err := json.Marshal(value)
		if err != nil {
			cannotRun(err)
		}
		return string(encoded)
	})
}

func lookup(value any, path string) any {
	for _, name := range strings.Split(path, ".") {
		switch v := value.(type) {
		case map[string]any:
			value = v[name]
		case []any:
			value = v[int(name[0]-'0')]
		case []string:
			value = v[int(name[0]-'0')]
		default:
			return nil
		}
	}
	return value
}
