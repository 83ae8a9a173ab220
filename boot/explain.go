package boot

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"
	"unicode"

	"github.com/juju/errors"

	"github.com/buckthorntide/buckthorntide/front"
	"github.com/buckthorntide/buckthorntide/pick"
	"github.com/buckthorntide/buckthorntide/proxy"
)

const (
	// explainKeyVariable is the environment variable that stands in for -key.
	explainKeyVariable = "BUCKTHORNTIDE_KEY"
	// explainTimeout bounds the call to the instance.
	explainTimeout = 5 * time.Second
	// maxExplanationBytes bounds the answer that is read; an upstream takes about 300.
	maxExplanationBytes = 64 << 20
	// maxErrorBytes bounds the text of an error that is printed.
	maxErrorBytes = 1 << 10
)

// explainFlags are the arguments of the command.
type explainFlags struct {
	at      string
	host    string
	path    string
	method  string
	key     string
	team    string
	program string
	object  string
	id      string
	body    string
	json    bool
	content []byte
}

// explain asks an instance where it would send a request, and prints the answer.
func (a *App) explain(args []string) int {
	f, err := a.parseExplain(args)
	if errors.Is(err, flag.ErrHelp) {
		return exitOK
	}
	if err != nil {
		return a.fail(exitBadInput, errors.Annotate(err, "explain"))
	}
	e, status, err := f.ask()
	if err != nil {
		return a.fail(status, errors.Annotate(err, "explain"))
	}
	if !f.json {
		printExplanation(a.out, f, e)
		return exitOK
	}
	encoder := json.NewEncoder(a.out)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(e); err != nil {
		return a.fail(exitFailed, errors.Annotate(err, "explain"))
	}
	return exitOK
}

// parseExplain reads and checks the arguments. Its errors repeat no value that may be a
// key.
func (a *App) parseExplain(args []string) (*explainFlags, error) {
	f := &explainFlags{}
	set := flag.NewFlagSet("explain", flag.ContinueOnError)
	// The errors of the flag set may repeat a key that is given in the wrong place.
	set.SetOutput(io.Discard)
	set.StringVar(&f.at, "at", "", "the instance's metricsAddress, as host:port")
	set.StringVar(&f.host, "host", "", "the request's host")
	set.StringVar(&f.path, "path", "", "the request's path, and its query after a question mark")
	set.StringVar(&f.method, "method", "", "the request's method (default GET, or POST with -body)")
	set.StringVar(&f.key, "key", "", "the caller's key; better given as "+explainKeyVariable)
	set.StringVar(&f.team, "team", "", "the caller's team, in place of a key")
	set.StringVar(&f.program, "program", "", "the program that the request belongs to")
	set.StringVar(&f.object, "object", "", "the affinity key of the object that the request names")
	set.StringVar(&f.id, "id", "", "the request's ID, which chooses among several services of a route")
	set.StringVar(&f.body, "body", "", "file with the request's body, to find out whether the request is held off")
	set.BoolVar(&f.json, "json", false, "print JSON")
	if err := set.Parse(args); err != nil {
		set.SetOutput(a.err)
		set.PrintDefaults()
		if errors.Is(err, flag.ErrHelp) {
			return nil, errors.Trace(err)
		}
		return nil, errors.Errorf("argument %d is no flag of this command, or its value is missing or malformed", len(args)-set.NArg())
	}
	if set.NArg() > 0 {
		return nil, errors.Errorf("%d unexpected arguments after the flags", set.NArg())
	}
	if f.key == "" && f.team == "" {
		f.key = a.env(explainKeyVariable)
	}
	if err := f.check(); err != nil {
		return nil, err
	}
	return f, f.readBody()
}

func (f *explainFlags) check() error {
	_, port, err := net.SplitHostPort(f.at)
	if err == nil {
		_, err = strconv.ParseUint(port, 10, 16)
	}
	switch {
	case f.at == "":
		return errors.New("-at is missing: give the instance's metricsAddress")
	case err != nil:
		return errors.New("-at is not host:port")
	case f.host == "":
		return errors.New("-host is missing")
	case !strings.HasPrefix(f.path, "/"):
		return errors.New("-path must start with /")
	case strings.ContainsFunc(f.method, func(r rune) bool { return r > unicode.MaxASCII || !unicode.IsLetter(r) && r != '-' }):
		return errors.New("-method is not an HTTP method")
	case f.key != "" && f.team != "":
		return errors.New("give -key or -team, not both")
	case strings.ContainsFunc(f.key, unicode.IsControl):
		return errors.New("the key has a control character, which a header field can't carry")
	default:
		return nil
	}
}

func (f *explainFlags) readBody() error {
	if f.method == "" {
		f.method = http.MethodGet
		if f.body != "" {
			f.method = http.MethodPost
		}
	}
	if f.body == "" {
		return nil
	}
	var err error
	f.content, err = os.ReadFile(f.body)
	return errors.Annotate(err, "-body")
}

// ask calls the instance. With an error it returns the exit status as well.
func (f *explainFlags) ask() (proxy.Explanation, int, error) {
	var e proxy.Explanation
	ctx, cancel := context.WithTimeout(context.Background(), explainTimeout)
	defer cancel()
	request, err := f.request(ctx)
	if err != nil {
		return e, exitBadInput, err
	}
	// The key goes to the named instance only: through no proxy and after no redirect.
	client := &http.Client{
		Transport:     &http.Transport{DisableKeepAlives: true},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	response, err := client.Do(request)
	if err != nil {
		var wrapped *url.Error
		if errors.As(err, &wrapped) {
			err = wrapped.Err
		}
		return e, exitFailed, errors.Annotatef(err, "%s does not answer", f.at)
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxExplanationBytes))
	if err != nil {
		return e, exitFailed, errors.Annotatef(err, "the answer of %s", f.at)
	}
	switch response.StatusCode {
	case http.StatusOK:
		err = json.Unmarshal(content, &e)
		return e, exitFailed, errors.Annotatef(err, "the answer of %s", f.at)
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge:
		return e, exitBadInput, errors.New(strings.TrimSpace(string(content[:min(len(content), maxErrorBytes)])))
	default:
		return e, exitFailed, errors.Errorf("%s answers with status %d; -at must be the metricsAddress of an instance that has %s", f.at, response.StatusCode, front.ExplainPath)
	}
}

func (f *explainFlags) request(ctx context.Context) (*http.Request, error) {
	values := url.Values{}
	for name, value := range map[string]string{
		front.ParamHost:    f.host,
		front.ParamPath:    f.path,
		front.ParamMethod:  f.method,
		front.ParamTeam:    f.team,
		front.ParamProgram: f.program,
		front.ParamObject:  f.object,
		front.ParamID:      f.id,
	} {
		if value != "" {
			values.Set(name, value)
		}
	}
	target := url.URL{Scheme: "http", Host: f.at, Path: front.ExplainPath, RawQuery: values.Encode()}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), bytes.NewReader(f.content))
	if err != nil {
		return nil, errors.New("-at is not host:port")
	}
	if f.key != "" {
		request.Header.Set("Authorization", "Bearer "+f.key)
	}
	return request, nil
}

// printExplanation prints the explanation for people.
func printExplanation(out io.Writer, f *explainFlags, e proxy.Explanation) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	line := func(name, format string, args ...any) {
		_, _ = fmt.Fprintf(w, "%s\t%s\n", name, fmt.Sprintf(format, args...))
	}
	line("request", "%s %s%s", f.method, f.host, f.path)
	line("route", "%s", routeText(e.Route))
	line("service", "%s", cmp.Or(e.Service, "none"))
	line("team", "%s", cmp.Or(e.Team, "none"))
	if q := e.Quota; q != nil {
		line("quota", "%g/s, burst %g; this instance has %.2f own and %.2f borrowed tokens, %.1f of %.1f given, no openings for %d ms",
			q.Rate, q.Burst, q.Tokens, q.Borrowed, q.Given, q.Limit, q.NoOpeningsForMs)
	}
	line("held off", "%s", heldText(e.HeldForMs))
	if r := e.Refused; r != nil {
		line("refused", "%d %s%s", r.Status, r.Reason, retryText(r.RetryAfterMs))
	}
	if c := e.Choice; c != nil {
		line("choice", "%s (%s)", c.Upstream, c.Reason)
	}
	for _, note := range e.Notes {
		line("note", "%s", note)
	}
	_ = w.Flush()
	if len(e.Upstreams) == 0 {
		return
	}
	_, _ = fmt.Fprintln(w, "\nUPSTREAM\tSTATE\tDOMAIN\tVERSION\tIN FLIGHT\tFILL\tCOLD\tEXCLUDED BY")
	for _, u := range e.Upstreams {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%.2f\t%s\t%s\n",
			u.ID, u.State, u.FailureDomain, u.Version, u.InFlight, u.Fill, coldText(u.ColdForMs), exclusionText(u))
	}
	_ = w.Flush()
}

func routeText(r *proxy.RouteExplanation) string {
	if r == nil {
		return "none"
	}
	text := fmt.Sprintf("%s (%s%s)", r.Name, r.Host, r.Prefix)
	if r.Public {
		text += ", public"
	}
	return text
}

func heldText(milliseconds int64) string {
	switch {
	case milliseconds < 0:
		return "not checked, refused before"
	case milliseconds == 0:
		return "no"
	default:
		return fmt.Sprintf("for %d ms, because it crashed upstreams", milliseconds)
	}
}

func retryText(milliseconds int64) string {
	if milliseconds <= 0 {
		return ""
	}
	return fmt.Sprintf("; retry after %d ms", milliseconds)
}

func coldText(milliseconds int64) string {
	if milliseconds <= 0 {
		return "-"
	}
	return fmt.Sprintf("%d ms", milliseconds)
}

func exclusionText(u proxy.UpstreamExplanation) string {
	names := make([]string, 0, len(u.ExcludedBy))
	for _, name := range u.ExcludedBy {
		text := string(name)
		if name == pick.ExcludedEjected {
			text += fmt.Sprintf(" for %d ms", u.EjectedForMs)
		}
		names = append(names, text)
	}
	return cmp.Or(strings.Join(names, "; "), "-")
}
