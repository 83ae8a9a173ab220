package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/buckthorntide/buckthorntide/stand"
	"github.com/buckthorntide/buckthorntide/store"
)

const (
	plantNothing    planted = ""
	plantForget     planted = "the history is not passed on"
	plantMix        planted = "all programs share one history"
	plantLie        planted = "a call that ran is refused as not run"
	plantTwice      planted = "a plain call is run twice"
	plantLeak       planted = "the caller's key is passed on"
	plantCut        planted = "connections are cut"
	plantRefuse     planted = "every call is refused"
	plantGrant      planted = "every call is granted"
	plantTruncation planted = "answers lose their end"
)

type (
	planted string

	// faultyCluster is one instance in which a fault is planted.
	faultyCluster struct {
		fault  planted
		world  *world
		server *httptest.Server

		mu        sync.Mutex
		histories map[string][]stand.Message
	}
)

func newFaultyCluster(fault planted) newCluster {
	return func(w *world, _ int) (cluster, error) {
		c := &faultyCluster{fault: fault, world: w, histories: make(map[string][]stand.Message)}
		mux := http.NewServeMux()
		mux.HandleFunc("GET /healthz", func(http.ResponseWriter, *http.Request) {})
		mux.HandleFunc("POST /v1/programs", func(w http.ResponseWriter, _ *http.Request) {
			_ = json.NewEncoder(w).Encode(programBody{Program: store.NewRequestID()})
		})
		mux.HandleFunc("DELETE /v1/programs/{program}", func(http.ResponseWriter, *http.Request) {})
		mux.HandleFunc("POST /v1/chat/completions", c.chat)
		mux.HandleFunc("POST "+plainPath, c.plain)
		c.server = httptest.NewServer(mux)
		return c, nil
	}
}

func (c *faultyCluster) Start(context.Context, int) error { return nil }

func (c *faultyCluster) Settle(context.Context) error { return nil }

func (c *faultyCluster) Addresses() []string { return []string{c.server.Listener.Addr().String()} }

func (c *faultyCluster) Stop(context.Context) error { return nil }

func (c *faultyCluster) Kill() {}

func (c *faultyCluster) SetDomain(context.Context, string, bool) error { return nil }

func (c *faultyCluster) Key(_ context.Context, team string) (string, error) {
	return "btk_" + team, nil
}

func (c *faultyCluster) Close() { c.server.Close() }

func (c *faultyCluster) chat(w http.ResponseWriter, r *http.Request) {
	switch c.fault {
	case plantRefuse:
		refuseTest(w, http.StatusTooManyRequests)
		return
	case plantCut:
		panic(http.ErrAbortHandler)
	}
	var request stand.ChatRequest
	if json.NewDecoder(r.Body).Decode(&request) != nil {
		panic(http.ErrAbortHandler)
	}
	program := r.Header.Get(programHeader)
	request.Messages = c.remember(program, request.Messages)
	request.Stream = false
	body, err := json.Marshal(request)
	assertNil(err)
	status, answer := c.post(c.world.engines[0].Address(), "/v1/chat/completions", program, r.Header, body)
	var reply stand.ChatReply
	if status != http.StatusOK {
		panic(http.ErrAbortHandler)
	}
	assertNil(json.Unmarshal(answer, &reply))
	message := reply.Choices[0].Message
	c.remember(program, []stand.Message{*message})
	if c.fault == plantTruncation {
		message.Content = message.Content[:len(message.Content)-1]
	}
	_ = json.NewEncoder(w).Encode(reply)
}

// remember adds to the program's history and returns what the engine is given.
func (c *faultyCluster) remember(program string, messages []stand.Message) []stand.Message {
	if c.fault == plantForget {
		return messages
	}
	if c.fault == plantMix {
		program = ""
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.histories[program] = append(c.histories[program], messages...)
	return append([]stand.Message{}, c.histories[program]...)
}

func (c *faultyCluster) plain(w http.ResponseWriter, r *http.Request) {
	if c.fault == plantRefuse {
		refuseTest(w, http.StatusTooManyRequests)
		return
	}
	body, err := io.ReadAll(r.Body)
	assertNil(err)
	address := c.world.services[0].Address()
	status, answer := c.post(address, "/reserve", "", r.Header, body)
	switch {
	case c.fault == plantTwice:
		c.post(address, "/reserve", "", r.Header, body)
	case c.fault == plantLie:
		refuseTest(w, http.StatusBadRequest)
		return
	case status != http.StatusOK:
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(answer)
}

func (c *faultyCluster) post(address, path, program string, header http.Header, body []byte) (int, []byte) {
	r, err := http.NewRequest(http.MethodPost, "http://"+address+path, bytes.NewReader(body))
	assertNil(err)
	r.Header.Set(stand.HeaderProgram, program)
	if c.fault == plantLeak {
		r.Header.Set("X-Caller", header.Get("Authorization"))
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = response.Body.Close() }()
	answer, _ := io.ReadAll(response.Body)
	return response.StatusCode, answer
}

func refuseTest(w http.ResponseWriter, status int) {
	w.Header().Set(runStateHeader, runStateNotRun)
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(errorBody{Error: &errorDetail{Code: "planted", RunState: runStateNotRun}})
}

func assertNil(err error) {
	if err != nil {
		panic(err)
	}
}

// smallLoad is one team that keeps within its grant, or sends far more.
func smallLoad(ratePerSecond float64) load {
	return load{duration: 500 * time.Millisecond, teams: []teamLoad{
		{name: "team0", ratePerSecond: ratePerSecond, burst: ratePerSecond, programsPerSecond: 12},
	}}
}

func TestPlantedFaultsRaiseCounters(t *testing.T) {
	const ample = 1000
	cases := []struct {
		name    string
		fault   planted
		rate    float64
		service stand.ServiceFaults
		engine  stand.EngineFaults
		poison  bool
		takeOut bool
		counter func(r result) float64
	}{
		{name: string(plantForget), fault: plantForget, rate: ample, counter: func(r result) float64 { return float64(r.TurnsLost) }},
		{name: string(plantMix), fault: plantMix, rate: ample, counter: func(r result) float64 { return float64(r.TurnsMixed) }},
		{name: string(plantTruncation), fault: plantTruncation, rate: ample, counter: func(r result) float64 { return float64(r.AnswersBroken) }},
		{name: string(plantLie), fault: plantLie, rate: ample, counter: func(r result) float64 { return float64(r.FalseNotRun) }},
		{name: string(plantTwice), fault: plantTwice, rate: ample, counter: func(r result) float64 { return float64(r.DoubleRuns) }},
		{name: string(plantLeak), fault: plantLeak, rate: ample, counter: func(r result) float64 { return float64(r.KeysLeaked) }},
		{name: string(plantCut), fault: plantCut, rate: ample, counter: func(r result) float64 { return float64(r.CutOff) }},
		{name: string(plantRefuse), fault: plantRefuse, rate: ample, counter: func(r result) float64 { return float64(r.WrongfulRefusals) }},
		{name: string(plantGrant), fault: plantGrant, rate: 1, counter: func(r result) float64 { return float64(r.OverGranted) }},
		{
			name: "a service crashes after the run", rate: ample, service: stand.ServiceFaults{CrashAfterRunProbability: 1},
			counter: func(r result) float64 { return float64(r.DoubleRuns) },
		},
		{
			name: "an engine turns cold", rate: ample, engine: stand.EngineFaults{TurnCold: true},
			counter: func(r result) float64 { return float64(r.ColdOverloads) },
		},
		{name: "work goes on in a domain that is out", rate: ample, takeOut: true, counter: func(r result) float64 { return r.DomainLastWorkMs }},
		{name: "poison", rate: ample, poison: true, counter: func(r result) float64 { return float64(r.EngineCrashes) }},
		{name: "caches are not freed", rate: ample, counter: func(r result) float64 { return float64(r.HeldPrefixes) }},
	}
	plant := func(service stand.ServiceFaults, engine stand.EngineFaults) []fault {
		return []fault{{do: func(_ context.Context, t *trial) error {
			t.world.services[0].SetFaults(service)
			t.world.engines[0].SetFaults(engine)
			return nil
		}}}
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			e := experiment{name: "planted", load: smallLoad(c.rate), faults: plant(c.service, c.engine), poison: c.poison}
			if c.takeOut {
				e.faults = append(e.faults, fault{do: setDomain(true)})
			}
			r, err := (&trial{experiment: e, seed: 1}).run(context.Background(), newFaultyCluster(c.fault))
			assert.NilError(t, err)
			assert.Assert(t, c.counter(r) > 0, "%+v", r)
		})
	}
}

func TestNoFaultRaisesNoCounter(t *testing.T) {
	e := experiment{name: "clean", load: smallLoad(1000)}
	r, err := (&trial{experiment: e, seed: 1}).run(context.Background(), newFaultyCluster(plantNothing))
	assert.NilError(t, err)
	assert.Assert(t, r.Programs > 0)
	assert.Equal(t, r.ProgramsFailed+r.Refusals+r.CutOff+r.DoubleRuns+r.FalseNotRun, 0)
	assert.Equal(t, r.TurnsLost+r.TurnsMixed+r.AnswersBroken, 0)
	assert.Equal(t, r.KeysLeaked+r.OverGranted+r.ColdOverloads+r.EngineCrashes, int64(0))
	assert.Equal(t, r.WastedCacheRatio, 0.0)
}
