// Command standin plays the cases of the review: it starts the project's program as
// separate processes, with stand-ins of the store, the engines and the clients, and
// checks one rule. It exits with 1 if the rule was broken, 0 if it held and 2 if the
// case could not run.
package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
	// caseTimeout ends a case that hangs.
	caseTimeout = 115 * time.Second
)

// cases are the cases by the name that their scripts use. The file of each adds it.
var cases = make(map[string]func(rec *record, trouble bool) bool)

// record is the case's record of what was sent, answered and run.
type record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

func main() {
	if len(os.Args) != 3 {
		cannotRun(fmt.Errorf("usage: standin CASE FOLDER"))
	}
	play, ok := cases[os.Args[1]]
	if !ok {
		cannotRun(fmt.Errorf("there is no case %s", os.Args[1]))
	}
	file, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		cannotRun(err)
	}
	rec := &record{file: file, started: time.Now()}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.write("case %s, disruption: %t", os.Args[1], trouble)
	endOnSignal()
	broken := play(rec, trouble)
	closeFleets()
	_ = file.Close()
	if broken {
		os.Exit(exitBroken)
	}
	os.Exit(exitHeld)
}

// write adds a line to the record.
func (r *record) write(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, values...))
}

// conclude writes the result to the record and to the standard output.
func (r *record) conclude(format string, values ...any) {
	r.write(format, values...)
	fmt.Printf(format+"\n", values...)
}

// cannotRun ends the command because the case could not run.
func cannotRun(err error) {
	fmt.Fprintln(os.Stderr, "the case could not run:", err)
	closeFleets()
	os.Exit(exitNotRun)
}

// openFleets are the fleets whose processes must be ended.
var openFleets struct {
	mu  sync.Mutex
	all []*fleet
}

// endLater makes sure that the fleet's processes end with the case, and with one that
// takes too long.
func endLater(f *fleet) {
	openFleets.mu.Lock()
	defer openFleets.mu.Unlock()
	openFleets.all = append(openFleets.all, f)
	time.AfterFunc(caseTimeout, func() { cannotRun(fmt.Errorf("the case took too long")) })
}

func closeFleets() {
	openFleets.mu.Lock()
	defer openFleets.mu.Unlock()
	for _, f := range openFleets.all {
		f.close()
	}
	openFleets.all = nil
}

// endOnSignal ends the case's processes if the case is stopped.
func endOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		s := <-signals
		cannotRun(fmt.Errorf("stopped by %s", s))
	}()
}

// listenAnywhere opens a free port on loopback.
func listenAnywhere() net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cannotRun(err)
	}
	return l
}

// freeAddress returns a loopback address with a port that is free now. It lies below the
// ports that the system gives to connections, which would take it meanwhile.
func freeAddress() string {
	for range 1000 {
		address := fmt.Sprintf("127.0.0.1:%d", 12000+rand.N(20000))
		l, err := net.Listen("tcp", address)
		if err == nil && !taken[address] {
			_ = l.Close()
			taken[address] = true
			return address
		}
	}
	cannotRun(fmt.Errorf("no port is free"))
	return ""
}

// taken are the addresses that were returned.
var taken = make(map[string]bool)

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// pauseFor waits and reports whether the request's caller is still there.
func pauseFor(r *http.Request, d time.Duration) bool {
	pause(r.Context(), d)
	return r.Context().Err() == nil
}

// resetConnection ends the connection of the request with a reset.
func resetConnection(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}
