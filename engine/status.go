package engine

import (
	"io"
	"net"
	"net/http"
	"strings"

	"github.com/juju/errors"
)

// statusError converts a response's status to an error of this package.
func statusError(resp *http.Response) error {
	if resp.StatusCode >= http.StatusOK && resp.StatusCode < http.StatusMultipleChoices {
		return nil
	}
	raw, _ := io.ReadAll(io.LimitReader(resp.Body, maxMessageBytes))
	message := errors.Errorf("status %d: %s", resp.StatusCode, strings.TrimSpace(string(raw)))
	return errors.WithType(message, errorForStatus(resp.StatusCode))
}

func errorForStatus(status int) errors.ConstError {
	switch status {
	case http.StatusNotFound, http.StatusGone:
		return ErrNotFound
	case http.StatusConflict, http.StatusPreconditionFailed:
		return ErrStaleFence
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusBadRequest,
		http.StatusUnauthorized, http.StatusForbidden, http.StatusRequestEntityTooLarge:
		return ErrRefused
	default:
		return ErrFailed
	}
}

// transportError distinguishes a failed dial from a connection that broke.
func transportError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return errors.WithType(err, ErrUnreachable)
	}
	return errors.WithType(err, ErrBroken)
}

// checkRequestID rejects a response that carries another request's ID.
func checkRequestID(resp *http.Response, requestID string) error {
	got := resp.Header.Get(HeaderRequestID)
	if got == "" || got == requestID {
		return nil
	}
	return errors.WithType(errors.Errorf("got %q for %q", got, requestID), ErrWrongRequest)
}
