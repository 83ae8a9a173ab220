package front

import (
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strings"

	"github.com/juju/errors"

	"github.com/buckthorntide/buckthorntide/proxy"
)

// ExplainPath is the path of explanations on the metrics address.
const ExplainPath = "/explain"

// Parameters of an explanation. The key is sent as a bearer token in the Authorization
// header, since URLs are often logged, and the body of the request as the body.
const (
	ParamHost    = "host"
	ParamPath    = "path"
	ParamMethod  = "method"
	ParamTeam    = "team"
	ParamProgram = "program"
	ParamObject  = "object"
	ParamID      = "id"
)

const (
	headerAuthorization = "Authorization"
	bearer              = "Bearer "
)

var explainParams = []string{ParamHost, ParamPath, ParamMethod, ParamTeam, ParamProgram, ParamObject, ParamID}

// serveExplain answers where a request would go now, and why.
func (f *Front) serveExplain(w http.ResponseWriter, r *http.Request) {
	question, err := readQuestion(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	question.Body, err = io.ReadAll(http.MaxBytesReader(w, r.Body, f.proxy.BodyLimit()))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		http.Error(w, "the body exceeds the configuration's limit", http.StatusRequestEntityTooLarge)
		return
	}
	if err != nil {
		http.Error(w, "the body was not read whole", http.StatusBadRequest)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(f.proxy.Explain(question)); err != nil {
		f.log.Warn("write of an explanation failed", "error", err)
	}
}

// readQuestion reads the parameters. Its errors don't repeat their values, one of which
// may be a misplaced key.
func readQuestion(r *http.Request) (proxy.Question, error) {
	values, err := url.ParseQuery(r.URL.RawQuery)
	if err != nil {
		return proxy.Question{}, errors.New("the query can't be parsed")
	}
	for name, v := range values {
		if !slices.Contains(explainParams, name) {
			return proxy.Question{}, errors.Errorf("unknown parameter; known ones: %s (send a key in the Authorization header)", strings.Join(explainParams, ", "))
		}
		if len(v) > 1 {
			return proxy.Question{}, errors.Errorf("the parameter %s is given more than once", name)
		}
	}
	q := proxy.Question{Team: values.Get(ParamTeam), Call: proxy.Call{
		ID:      values.Get(ParamID),
		Method:  values.Get(ParamMethod),
		Host:    values.Get(ParamHost),
		Key:     strings.TrimPrefix(r.Header.Get(headerAuthorization), bearer),
		Program: values.Get(ParamProgram),
		Object:  values.Get(ParamObject),
	}}
	q.Call.Path, q.Call.Query, _ = strings.Cut(values.Get(ParamPath), "?")
	switch {
	case q.Call.Host == "":
		return q, errors.Errorf("the parameter %s is missing", ParamHost)
	case !strings.HasPrefix(q.Call.Path, "/"):
		return q, errors.Errorf("the parameter %s must start with /", ParamPath)
	case q.Call.Method == "":
		return q, errors.Errorf("the parameter %s is missing", ParamMethod)
	case q.Call.Key != "" && q.Team != "":
		return q, errors.New("give a key or a team, not both")
	default:
		return q, nil
	}
}
