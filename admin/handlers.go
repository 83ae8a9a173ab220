package admin

import (
	"context"
	"net/http"

	"github.com/buckthorntide/buckthorntide/admapi"
	"github.com/buckthorntide/buckthorntide/keys"
)

func (s *Server) getText(ctx context.Context, _ *http.Request) (any, error) {
	return s.operator.Text(ctx)
}

func (s *Server) putText(ctx context.Context, q *http.Request) (any, error) {
	body, err := decode[admapi.PutTextRequest](q)
	if err != nil {
		return nil, err
	}
	return s.operator.PutText(ctx, body)
}

func (s *Server) listKeys(ctx context.Context, q *http.Request) (any, error) {
	kind := keys.CallerKind
	if q.URL.Query().Get(admapi.QueryAdmin) == "true" {
		kind = keys.AdminKind
	}
	return s.operator.ListKeys(ctx, kind)
}

func (s *Server) issueKey(ctx context.Context, q *http.Request) (any, error) {
	body, err := decode[admapi.IssueKeyRequest](q)
	if err != nil {
		return nil, err
	}
	return s.operator.IssueKey(ctx, body)
}

func (s *Server) withdrawKey(ctx context.Context, q *http.Request) (any, error) {
	return s.operator.WithdrawKey(ctx, q.PathValue("id"))
}

func (s *Server) setDomain(ctx context.Context, q *http.Request) (any, error) {
	body, err := decode[admapi.DomainRequest](q)
	if err != nil {
		return nil, err
	}
	return s.operator.SetDomain(ctx, q.PathValue("name"), body.Out)
}

func (s *Server) drain(context.Context, *http.Request) (any, error) {
	return s.operator.Drain(), nil
}

func (s *Server) status(context.Context, *http.Request) (any, error) {
	return s.operator.Status(), nil
}

func (s *Server) dump(ctx context.Context, _ *http.Request) (any, error) {
	return s.operator.Dump(ctx)
}
