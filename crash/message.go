package crash

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"github.com/juju/errors"

	"github.com/buckthorntide/buckthorntide/peer"
	"github.com/buckthorntide/buckthorntide/poison"
	"github.com/buckthorntide/buckthorntide/rows"
)

const (
	// Table is the store's table of crashed upstreams and of requests that were cleared.
	Table = "crashes"
	// clearedPrefix begins the keys of cleared requests.
	clearedPrefix = "cleared/"
	// crashPrefix begins the keys of crashes.
	crashPrefix = "crash/"
)

type (
	// Report tells peers and the store of a crash, or that a request was cleared.
	Report struct {
		Upstream    string `json:"upstream,omitempty"`
		Incarnation int64  `json:"incarnation,omitempty"`
		// Version is the software version of the upstream.
		Version string `json:"version,omitempty"`
		// Requests are those that were in flight, each as the fingerprints of caller, path
		// and body and of caller and path, in hexadecimal with a hyphen between them.
		Requests []string `json:"requests,omitempty"`
		// Cleared is set if the requests were answered whole since, at the same version.
		Cleared bool `json:"cleared,omitempty"`
		// At is when the upstream ended or the requests were answered, in milliseconds of
		// the store's clock; 0 if that wasn't known.
		At int64 `json:"at,omitempty"`
	}

	// Ack confirms a report.
	Ack struct{}
)

// Tell is the remote method that tells a peer of a crash while the store is away.
var Tell = peer.Method[Report, Ack]{Name: "ReportCrash"}

// rowID returns the row in which the process stores the report.
func (r Report) rowID(process string) rows.ID {
	prefix := crashPrefix
	if r.Cleared {
		prefix = clearedPrefix
	}
	// An instance may learn late of further requests; they get a row of their own.
	return rows.ID{Table: Table, Key: fmt.Sprintf("%s%s/%d/%s/%s", prefix, r.Upstream, r.Incarnation, process, r.Requests[0])}
}

func (r Report) crash() (poison.Crash, error) {
	c := poison.Crash{Upstream: r.Upstream, Incarnation: r.Incarnation, Version: r.Version}
	for _, text := range r.Requests {
		request, err := parseRequest(text)
		if err != nil {
			return c, errors.Annotate(err, "fingerprint")
		}
		c.Requests = append(c.Requests, request)
	}
	return c, nil
}

func newReport(c poison.Crash) Report {
	r := Report{Upstream: c.Upstream, Incarnation: c.Incarnation, Version: c.Version}
	for _, request := range c.Requests {
		r.Requests = append(r.Requests, formatRequest(request))
	}
	return r
}

func formatRequest(r poison.Request) string {
	return strconv.FormatUint(uint64(r.Exact), 16) + "-" + strconv.FormatUint(uint64(r.Path), 16)
}

func parseRequest(text string) (poison.Request, error) {
	exact, path, _ := strings.Cut(text, "-")
	e, err := strconv.ParseUint(exact, 16, 64)
	if err != nil {
		return poison.Request{}, err
	}
	p, err := strconv.ParseUint(path, 16, 64)
	return poison.Request{Exact: poison.Fingerprint(e), Path: poison.Fingerprint(p)}, err
}

func decodeReport(row rows.Row) (Report, error) {
	var r Report
	err := json.Unmarshal(row.Value, &r)
	return r, errors.Annotate(err, "crash report")
}
