package admin

import (
	"context"
	"crypto/rand"
	"encoding/json"

	"github.com/juju/errors"

	"github.com/buckthorntide/buckthorntide/admapi"
	"github.com/buckthorntide/buckthorntide/conf"
	"github.com/buckthorntide/buckthorntide/keys"
	"github.com/buckthorntide/buckthorntide/store"
)

type (
	// Spreader brings changes into force here and at every peer.
	Spreader interface {
		PublishText(ctx context.Context, head conf.Head) error
		PublishKeyChange(ctx context.Context, kind keys.Kind, change keys.Change) error
		Text() *conf.Text
		Head(ctx context.Context) (conf.Head, error)
		Keys(kind keys.Kind) *keys.Keys
	}

	// Instance is what operators may ask of this instance itself.
	Instance interface {
		// BeginDrain begins a planned stop and returns at once.
		BeginDrain() admapi.DrainResponse
		Status() admapi.StatusResponse
		// Dump returns the instance's whole state as JSON.
		Dump(ctx context.Context) (json.RawMessage, error)
	}

	// Operator carries out what operators ask for.
	Operator struct {
		table    store.Table
		spread   Spreader
		instance Instance
	}
)

// NewOperator returns an Operator that writes to the table.
func NewOperator(table store.Table, spread Spreader, instance Instance) *Operator {
	return &Operator{table: table, spread: spread, instance: instance}
}

// Text returns the text in force.
func (o *Operator) Text(ctx context.Context) (*admapi.TextResponse, error) {
	head, err := o.spread.Head(ctx)
	if err != nil {
		return nil, err
	}
	return &admapi.TextResponse{Revision: head.Revision, Text: head.Text}, nil
}

// PutText makes a text the next revision.
func (o *Operator) PutText(ctx context.Context, q admapi.PutTextRequest) (*admapi.PutTextResponse, error) {
	edit, err := o.editor().Put(ctx, q.Base, []byte(q.Text))
	if err != nil {
		return nil, err
	}
	return o.accepted(ctx, edit)
}

// SetDomain takes a failure domain out or brings it back.
func (o *Operator) SetDomain(ctx context.Context, name string, out bool) (*admapi.PutTextResponse, error) {
	edit, err := o.editor().SetDomainOut(ctx, name, out)
	if err != nil {
		return nil, err
	}
	return o.accepted(ctx, edit)
}

// ListKeys returns the issued keys without their secrets.
func (o *Operator) ListKeys(ctx context.Context, kind keys.Kind) (*admapi.KeysResponse, error) {
	listed, err := o.issuer(kind).List(ctx)
	if err != nil {
		return nil, err
	}
	reply := &admapi.KeysResponse{Keys: make([]admapi.Key, 0, len(listed))}
	for _, l := range listed {
		reply.Keys = append(reply.Keys, admapi.Key{
			ID:        l.Hash.String(),
			Team:      l.Record.Team,
			Label:     l.Record.Label,
			IssuedAt:  l.Record.IssuedAt,
			Withdrawn: l.Record.Withdrawn,
		})
	}
	return reply, nil
}

// IssueKey makes a new key.
func (o *Operator) IssueKey(ctx context.Context, q admapi.IssueKeyRequest) (*admapi.IssueKeyResponse, error) {
	kind := keys.CallerKind
	if q.Admin {
		kind = keys.AdminKind
	}
	if _, ok := o.spread.Text().Team(q.Team); !ok && !q.Admin {
		return nil, admapi.Problem{
			Code:    admapi.CodeNotFound,
			Message: "the text has no team " + q.Team,
			Next:    "add the team to the text first",
		}
	}
	issued, err := o.issuer(kind).Issue(ctx, q.Team, q.Label)
	if err != nil {
		return nil, err
	}
	if err := o.spread.PublishKeyChange(ctx, kind, issued.Change); err != nil {
		return nil, errors.Trace(err)
	}
	return &admapi.IssueKeyResponse{Key: issued.Key, ID: issued.Change.Hash.String()}, nil
}

// WithdrawKey makes a key of either kind work no more.
func (o *Operator) WithdrawKey(ctx context.Context, id string) (*admapi.WithdrawKeyResponse, error) {
	for _, kind := range []keys.Kind{keys.CallerKind, keys.AdminKind} {
		hash, err := o.spread.Keys(kind).Resolve(id)
		if errors.Is(err, keys.ErrUnknownKey) {
			continue
		}
		if err != nil {
			return nil, err
		}
		change, err := o.issuer(kind).Withdraw(ctx, hash, kind == keys.AdminKind)
		if err != nil {
			return nil, err
		}
		if err := o.spread.PublishKeyChange(ctx, kind, change); err != nil {
			return nil, errors.Trace(err)
		}
		return &admapi.WithdrawKeyResponse{ID: hash.String(), Revision: change.Revision}, nil
	}
	return nil, keys.ErrUnknownKey
}

// Drain begins a planned stop of the instance.
func (o *Operator) Drain() admapi.DrainResponse { return o.instance.BeginDrain() }

// Status returns the instance's short report.
func (o *Operator) Status() admapi.StatusResponse { return o.instance.Status() }

// Dump returns the instance's whole state.
func (o *Operator) Dump(ctx context.Context) (json.RawMessage, error) { return o.instance.Dump(ctx) }

func (o *Operator) accepted(ctx context.Context, edit conf.Edit) (*admapi.PutTextResponse, error) {
	if err := o.spread.PublishText(ctx, edit.Head); err != nil {
		return nil, errors.Trace(err)
	}
	reply := &admapi.PutTextResponse{Revision: edit.Head.Revision}
	for _, c := range edit.Changes {
		reply.Changes = append(reply.Changes, admapi.Change(c))
	}
	return reply, nil
}

func (o *Operator) editor() conf.Editor {
	return conf.Editor{Table: o.table, NewID: store.NewRequestID}
}

func (o *Operator) issuer(kind keys.Kind) keys.Issuer {
	return keys.Issuer{Kind: kind, Table: o.table, Random: rand.Reader, NewID: store.NewRequestID}
}
