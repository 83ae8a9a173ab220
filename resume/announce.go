package resume

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/buckthorntide/buckthorntide/group"
	"github.com/buckthorntide/buckthorntide/peer"
	"github.com/buckthorntide/buckthorntide/rows"
)

const (
	// AnnounceTable lists the processes that let streams begin beside a service's base.
	AnnounceTable = "streamers"

	// announceMark is the value of a process' row; the store rejects empty values.
	announceMark = "1"
	// withdrawTimeout bounds the removal of this process' rows when it stops.
	withdrawTimeout = 300 * time.Millisecond
	// afterSlash is the byte after the slash that ends a prefix of keys.
	afterSlash = "0"
	// announcePage is the maximum size of a page of the store.
	announcePage = 500
)

type (
	// OriginRequest asks a process for a stream.
	OriginRequest struct {
		Key string `json:"key"`
	}

	// OriginReply tells where the stream began, if the process knows it.
	OriginReply struct {
		// Process is the one that answers.
		Process string `json:"process"`
		Known   bool   `json:"known"`
		Origin  Origin `json:"origin"`
	}
)

// AskOrigin is the remote method that asks a process for a stream.
var AskOrigin = peer.Method[OriginRequest, OriginReply]{Name: "StreamOrigin"}

func announcePrefix(service, base string) string { return service + "/" + base + "/" }

func (t *Tracker) announceID(service, base string) rows.ID {
	return rows.ID{Table: AnnounceTable, Key: announcePrefix(service, base) + t.config.Process}
}

// announce lists this process before streams begin here beside the service's base.
func (t *Tracker) announce(ctx context.Context, service string) {
	t.mu.Lock()
	s := t.state(service)
	only, ok := base(s.versions)
	needed := ok && s.announced != only.Base
	t.mu.Unlock()
	if !needed {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, updateTimeout)
	defer cancel()
	txn := rows.Txn{Writes: []rows.Write{{ID: t.announceID(service, only.Base), Value: []byte(announceMark)}}}
	if _, err := rows.CommitUntilKnown(ctx, t.store, txn); err != nil {
		t.log.Warn("process not announced; streams begin at the base alone", "service", service, "base", only.Version, "error", err)
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	s.announced = only.Base
	close(t.changed)
	t.changed = make(chan struct{})
}

// readAnnounced returns the processes that announced themselves.
func (t *Tracker) readAnnounced(ctx context.Context, service, base string) ([]string, error) {
	prefix := announcePrefix(service, base)
	var found []string
	query := rows.Query{Table: AnnounceTable, From: prefix, To: strings.TrimSuffix(prefix, "/") + afterSlash, Limit: announcePage}
	for more := true; more; {
		page, err := t.store.Range(ctx, query)
		if err != nil {
			return nil, err
		}
		for _, r := range page.Rows {
			found = append(found, strings.TrimPrefix(r.Key, prefix))
		}
		more = page.More && len(page.Rows) > 0
		if more {
			query.From = page.Rows[len(page.Rows)-1].Key + "\x00"
		}
	}
	return found, nil
}

// removeAnnounced removes the rows of all processes once the base isn't used any more.
func (t *Tracker) removeAnnounced(ctx context.Context, service, base string) {
	announced, err := t.readAnnounced(ctx, service, base)
	for processes := range slices.Chunk(announced, maxTxnRows) {
		var txn rows.Txn
		for _, process := range processes {
			txn.Removes = append(txn.Removes, rows.ID{Table: AnnounceTable, Key: announcePrefix(service, base) + process})
		}
		if err == nil && group.Sleep(ctx, sweepPause) {
			_, err = t.store.Commit(ctx, txn)
		}
	}
	if err != nil {
		t.log.Warn("announced processes can't be removed", "service", service, "error", err)
	}
}

// withdraw removes the rows of this process.
func (t *Tracker) withdraw() {
	var txn rows.Txn
	t.mu.Lock()
	for service, s := range t.states {
		if s.announced != "" {
			txn.Removes = append(txn.Removes, t.announceID(service, s.announced))
		}
	}
	t.mu.Unlock()
	if len(txn.Removes) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), withdrawTimeout)
	defer cancel()
	if _, err := rows.CommitUntilKnown(ctx, t.store, txn); err != nil {
		t.log.Info("announcement not withdrawn; streams without a row can't be taken up for a while", "error", err)
	}
}
