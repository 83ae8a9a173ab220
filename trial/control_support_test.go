package trial

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"gotest.tools/v3/assert"

	"github.com/buckthorntide/buckthorntide/admapi"
	"github.com/buckthorntide/buckthorntide/caller"
	"github.com/buckthorntide/buckthorntide/conf"
	"github.com/buckthorntide/buckthorntide/fleet"
)

const (
	codeUnauthorised = "unauthorised"
	codeRateLimited  = "rateLimited"
	stateNotRun      = "notRun"
)

// look is a call of a plain service that may be repeated.
func look(callID string) caller.Request {
	return caller.Request{Method: http.MethodGet, Path: "/v1/services/booking/look", CallID: callID}
}

// tryOnce sends one request within tryTimeout.
func tryOnce(ctx context.Context, client *caller.Client, q caller.Request) error {
	ctx, cancel := context.WithTimeout(ctx, tryTimeout)
	defer cancel()
	_, err := client.Do(ctx, q)
	return err
}

// codeOf returns the code of the refusal that the error is, or an empty text.
func codeOf(err error) string {
	var r *caller.RefusedError
	if errors.As(err, &r) {
		return r.Code
	}
	return ""
}

// status returns an instance's short report.
func (c *cluster) status(i *instance) (admapi.StatusResponse, error) {
	var reply admapi.StatusResponse
	err := c.operate(i, http.MethodGet, admapi.PathStatus, nil, &reply)
	return reply, err
}

// awaitStatus waits until the status of each of the instances passes f.
func (c *cluster) awaitStatus(what string, instances []*instance, f func(admapi.StatusResponse) bool) {
	c.t.Helper()
	for _, i := range instances {
		c.eventually(i.name+": "+what, func() error {
			status, err := c.status(i)
			if err == nil && !f(status) {
				err = fmt.Errorf("status: %+v", status)
			}
			return err
		})
	}
}

// awaitRevision waits until each of the instances has at least the revision.
func (c *cluster) awaitRevision(instances []*instance, revision int64) {
	c.t.Helper()
	c.awaitStatus(fmt.Sprintf("revision %d", revision), instances, func(s admapi.StatusResponse) bool {
		return s.TextRevision >= revision
	})
}

// putText asks one instance to make the text the next revision. The problem is
// nil if it is accepted.
func (c *cluster) putText(ctx context.Context, i *instance, base int64, text string) (int64, *admapi.Problem, error) {
	raw, err := json.Marshal(admapi.PutTextRequest{Base: base, Text: text})
	if err != nil {
		return 0, nil, err
	}
	q, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+i.admin+admapi.PathText, bytes.NewReader(raw))
	if err != nil {
		return 0, nil, err
	}
	q.Header.Set("Authorization", "Bearer "+adminKey)
	resp, err := http.DefaultClient.Do(q)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil, err
	}
	if resp.StatusCode == http.StatusOK {
		var reply admapi.PutTextResponse
		err = json.Unmarshal(answer, &reply)
		return reply.Revision, nil, err
	}
	var refusal admapi.ErrorResponse
	err = json.Unmarshal(answer, &refusal)
	return 0, &refusal.Error, err
}

// homeOf returns the instance that alone decides for the key's shard.
func (c *cluster) homeOf(key string) *instance {
	c.t.Helper()
	var home *instance
	c.eventually("a home of "+key, func() error {
		for _, i := range c.instances {
			if c.isHome(i, fleet.ShardOf(key)) {
				home = i
				return nil
			}
		}
		return errors.New("no instance says that it is")
	})
	return home
}

func (c *cluster) isHome(i *instance, shard fleet.Shard) bool {
	var dump struct {
		Authority []struct {
			Shard     int  `json:"shard"`
			Exclusive bool `json:"exclusive"`
		} `json:"authority"`
	}
	if c.operate(i, http.MethodGet, admapi.PathDump, nil, &dump) != nil {
		return false
	}
	for _, a := range dump.Authority {
		if a.Shard == int(shard) && a.Exclusive {
			return true
		}
	}
	return false
}

// freezeUntilLapsed freezes the instance now and returns a function that waits
// until what it has heard no longer counts, and thaws it.
func (c *cluster) freezeUntilLapsed(i *instance) (thaw func()) {
	i.freeze()
	frozenAt := time.Now()
	lapse := time.Duration(conf.DefaultSettings().IsolationTimeout)
	return func() {
		c.eventually("what the instance has heard lapses", func() error {
			if time.Since(frozenAt) <= lapse {
				return errors.New("not yet")
			}
			return nil
		})
		i.thaw()
	}
}

// textOf returns a text as it is sent.
func textOf(c *cluster, text conf.Text) string {
	c.t.Helper()
	raw, err := json.Marshal(text)
	assert.NilError(c.t, err)
	return string(raw)
}

// killAndWait kills the process and waits until it is gone.
func (p *process) killAndWait() {
	p.kill()
	p.exited <- <-p.exited
}

// running tells whether the process has not ended.
func (p *process) running() bool {
	select {
	case err := <-p.exited:
		p.exited <- err
		return false
	default:
		return true
	}
}

// living returns the instances that run.
func (c *cluster) living() []*instance {
	var out []*instance
	for _, i := range c.instances {
		if i.running() {
			out = append(out, i)
		}
	}
	return out
}

// clientOf returns a client of the instance.
func clientOf(i *instance, key string) *caller.Client {
	return caller.NewClient(i.address, key)
}
