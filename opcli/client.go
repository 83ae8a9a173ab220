package opcli

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"

	"github.com/juju/errors"

	"github.com/buckthorntide/buckthorntide/admapi"
)

// maxAnswerBytes is the longest answer that is read.
const maxAnswerBytes = 256 << 20

// call sends one request to the instance and reads the answer into answer,
// unless that is nil. The body is sent as JSON unless it is nil.
func (s *session) call(method, path string, body, answer any) error {
	content, err := s.send(method, path, body)
	if err != nil || answer == nil {
		return err
	}
	if err := json.Unmarshal(content, answer); err != nil {
		return errors.Annotatef(err, "the answer of %s", s.admin)
	}
	return nil
}

// send sends one request and returns the body of a success.
func (s *session) send(method, path string, body any) ([]byte, error) {
	ctx, cancel := s.context()
	defer cancel()
	request, err := s.request(ctx, method, path, body)
	if err != nil {
		return nil, err
	}
	response, err := newClient().Do(request)
	if err != nil {
		return nil, s.unanswered(method, err)
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return nil, s.unanswered(method, err)
	}
	if response.StatusCode != http.StatusOK {
		return nil, s.refused(response.StatusCode, content)
	}
	return content, nil
}

// newClient returns a client that hands the admin key to nobody else: it uses
// no proxy and follows no redirect.
func newClient() *http.Client {
	return &http.Client{
		Transport:     &http.Transport{DisableKeepAlives: true},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// request makes a request with the admin key.
func (s *session) request(ctx context.Context, method, path string, body any) (*http.Request, error) {
	var content io.Reader = http.NoBody
	if body != nil {
		b, err := json.Marshal(body)
		if err != nil {
			return nil, errors.Trace(err)
		}
		content = bytes.NewReader(b)
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+s.admin+path, content)
	if err != nil {
		return nil, errors.Trace(err)
	}
	request.Header.Set("Authorization", "Bearer "+s.key)
	request.Header.Set("Content-Type", "application/json")
	return request, nil
}

// unanswered returns the failure that no answer came. Only if the request was
// never sent, or only asked, is it sure that nothing changed.
func (s *session) unanswered(method string, err error) error {
	var dial *net.OpError
	var wrapped *url.Error
	if errors.As(err, &wrapped) {
		err = wrapped.Err
	}
	if method == http.MethodGet || (errors.As(err, &dial) && dial.Op == "dial") {
		return &failure{Exit: ExitNotReachable, Problem: admapi.Problem{
			Code:    admapi.CodeUnavailable,
			Message: fmt.Sprintf("%s was not reached: %v", s.admin, err),
			Next:    "nothing was changed; ask another instance, or check the address",
		}}
	}
	return &failure{Exit: ExitFailed, Problem: admapi.Problem{
		Code:    admapi.CodeUnknown,
		Message: fmt.Sprintf("%s did not answer: %v", s.admin, err),
		Next:    "the change may have taken effect; see with status or keys list before you repeat the command",
	}}
}

// refused returns the failure that the instance answered with.
func (s *session) refused(status int, content []byte) error {
	var response admapi.ErrorResponse
	if err := json.Unmarshal(content, &response); err != nil || response.Error.Code == "" {
		return &failure{Exit: ExitFailed, Problem: admapi.Problem{
			Code:    admapi.CodeInternal,
			Message: fmt.Sprintf("%s answered with status %d and no reason", s.admin, status),
			Next:    "check that -admin is an administration address",
		}}
	}
	p := response.Error
	if p.Next == "" {
		p.Next = nextOf(p.Code)
	}
	return &failure{Exit: exitOf(p.Code), Problem: p}
}
