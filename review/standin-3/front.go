package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

const (
	// program is the deploy file's, from the root of the repository.
	program      = "target/buckthorntide"
	readyTimeout = 20 * time.Second
	// memoryMB is the memory of a machine of the small deployment.
	memoryMB  = 314
	firstPort = 12000
	lastPort  = 31000
)

var takenPorts = struct {
	sync.Mutex
	ports map[int]bool
}{ports: make(map[int]bool)}

// front is one process of the project, started with the deploy file's command.
type front struct {
	name, zone    string
	caller, ready string
	peer          string
	dir           string
	settings      map[string]any
	command       *exec.Cmd
	ended         chan struct{}
}

// freeAddress returns a loopback address with a port that is free now and was not returned
// before. It is below the ports that the system gives to clients.
func freeAddress() string {
	takenPorts.Lock()
	defer takenPorts.Unlock()
	for {
		port := firstPort + rand.IntN(lastPort-firstPort)
		address := fmt.Sprintf("127.0.0.1:%d", port)
		if takenPorts.ports[port] {
			continue
		}
		takenPorts.ports[port] = true
		if listener, err := net.Listen("tcp", address); err == nil {
			_ = listener.Close()
			return address
		}
	}
}

// startFront runs `target/buckthorntide front` with settings as deploy/front.jsonc gives
// them for the small deployment.
func startFront(dir, name, zone, storeAddress string, seeds []string, firstStart bool) (*front, error) {
	f := &front{name: name, zone: zone, caller: freeAddress(), ready: freeAddress(), peer: freeAddress(), dir: dir}
	f.settings = map[string]any{
		"instance": name, "failureDomain": zone, "callerAddress": f.caller, "readyAddress": f.ready, "peerAddress": f.peer,
		"metricsAddress": freeAddress(), "storeAddress": storeAddress, "storeWriteRate": 800, "rowBytes": storeRowBytes,
		"memoryMB": memoryMB, "maxDescriptors": 8200, "keyRevocation": "5000ms", "configDelay": "2000ms", "quotaWindow": "5s",
		"stopGrace": "8s", "coldOverage": 1.5,
	}
	if len(seeds) > 0 {
		f.settings["seeds"] = seeds
	}
	return f, f.start(firstStart)
}

// start begins a process with the machine's settings.
func (f *front) start(firstStart bool) error {
	delete(f.settings, "firstStart")
	if firstStart {
		f.settings["firstStart"] = true
	}
	source, err := json.Marshal(f.settings)
	if err != nil {
		return err
	}
	file := filepath.Join(f.dir, f.name+".jsonc")
	if err := os.WriteFile(file, source, 0o600); err != nil {
		return err
	}
	output, err := os.OpenFile(filepath.Join(f.dir, f.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command, ended := exec.Command(program, "front"), make(chan struct{})
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + f.dir, "BUCKTHORNTIDE_BOOT=" + file, "GOMAXPROCS=1"}
	command.Stdout, command.Stderr = output, output
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	f.command, f.ended = command, ended
	if err := command.Start(); err != nil {
		close(ended)
		return err
	}
	go func() {
		_ = command.Wait()
		_ = output.Close()
		close(ended)
	}()
	return nil
}

func (f *front) isReady() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + f.ready + "/-/readiness")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func awaitReady(fronts ...*front) error {
	until := time.Now().Add(readyTimeout)
	for _, f := range fronts {
		for !f.isReady() {
			if time.Now().After(until) {
				return fmt.Errorf("%s does not become ready", f.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// kill ends the process at once and waits for it.
func (f *front) kill() {
	_ = f.command.Process.Kill()
	<-f.ended
}

func (f *front) alive() bool {
	select {
	case <-f.ended:
		return false
	default:
		return true
	}
}
