package engine

import (
	"io"
	"net"
	"net/http"
	"strings"

	"github.com/juju/errors"
)

// statusError turns an answer's status into this layer's errors.
func statusError(resp *http.Response) error {
	if resp.StatusCode < http.StatusMultipleChoices {
		return nil
	}
	raw, _ := io.ReadAll(io.LimitReader(resp.Body, maxMessageBytes))
	message := errors.Errorf("status %d: %s", resp.StatusCode, strings.TrimSpace(string(raw)))
	return errors.WithType(message, statusKind(resp.StatusCode))
}

func statusKind(status int) errors.ConstError {
	switch status {
	case http.StatusNotFound, http.StatusGone:
		return ErrNotFound
	case http.StatusConflict, http.StatusPreconditionFailed:
		return ErrOldFence
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusBadRequest,
		http.StatusUnauthorized, http.StatusForbidden, http.StatusRequestEntityTooLarge:
		return ErrRefused
	default:
		return ErrFailed
	}
}

// transportError tells a connection that was never made from one that broke.
func transportError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return errors.WithType(err, ErrUnreachable)
	}
	return errors.WithType(err, ErrBroken)
}

// ownerError refuses an answer that names another request.
func ownerError(resp *http.Response, requestID string) error {
	owner := resp.Header.Get(HeaderRequestID)
	if owner == "" || owner == requestID {
		return nil
	}
	return errors.WithType(errors.Errorf("got %q for %q", owner, requestID), ErrWrongRequest)
}
