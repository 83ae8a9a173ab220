package opcli

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/buckthorntide/buckthorntide/admapi"
)

func domainOut(s *session) error { return s.domain(true) }

func domainIn(s *session) error { return s.domain(false) }

// domain takes a failure domain out or brings it back.
func (s *session) domain(out bool) error {
	name, err := s.argument("the failure domain's name")
	if err != nil {
		return err
	}
	var answer admapi.PutTextResponse
	if err := s.call(http.MethodPost, admapi.DomainPath(name), admapi.DomainRequest{Out: out}, &answer); err != nil {
		return err
	}
	state := "in"
	if out {
		state = "out"
	}
	s.printChanges(answer.Changes)
	s.line("failure domain %s is %s since revision %d", name, state, answer.Revision)
	return s.object(answer)
}

// drain starts the instance's planned stop.
func drain(s *session) error {
	if err := s.noArgument(); err != nil {
		return err
	}
	var answer admapi.DrainResponse
	if err := s.call(http.MethodPost, admapi.PathDrain, nil, &answer); err != nil {
		return err
	}
	s.line("%s takes no new calls and finishes %d", s.admin, answer.RunningCalls)
	return s.object(answer)
}

// status shows how the instance and what it sees are doing.
func status(s *session) error {
	if err := s.noArgument(); err != nil {
		return err
	}
	var answer admapi.StatusResponse
	if err := s.call(http.MethodGet, admapi.PathStatus, nil, &answer); err != nil {
		return err
	}
	s.printStatus(answer)
	return s.object(answer)
}

func (s *session) printStatus(a admapi.StatusResponse) {
	s.table("STATUS OF\t"+a.Instance, []string{
		"failure domain\t" + a.FailureDomain,
		"ready\t" + readiness(a),
		"draining\t" + yesNo(a.Draining),
		"store reachable\t" + yesNo(a.StoreReachable),
		fmt.Sprintf("text revision\t%d", a.TextRevision),
		fmt.Sprintf("keys revision\t%d", a.KeysRevision),
		"domains out\t" + orDash(strings.Join(a.DomainsOut, ", ")),
		fmt.Sprintf("seats, shards\t%d, %d", a.Seats, a.Shards),
		fmt.Sprintf("running calls\t%d", a.RunningCalls),
		"started at\t" + a.StartedAt.UTC().Format(time.RFC3339),
	})
	instances := make([]string, 0, len(a.Instances))
	for _, i := range a.Instances {
		instances = append(instances, fmt.Sprintf("%s\t%s\t%s", i.Name, i.FailureDomain, i.State))
	}
	s.line("")
	s.table("INSTANCE\tFAILURE DOMAIN\tSTATE", instances)
	upstreams := make([]string, 0, len(a.Upstreams))
	for _, u := range a.Upstreams {
		upstreams = append(upstreams, fmt.Sprintf("%s\t%s\t%s\t%s\t%d", u.Name, u.Service, u.FailureDomain, u.State, u.Running))
	}
	s.line("")
	s.table("UPSTREAM\tSERVICE\tFAILURE DOMAIN\tSTATE\tRUNNING", upstreams)
}

// readiness says whether the instance is ready, or why not.
func readiness(a admapi.StatusResponse) string {
	if a.Ready || a.NotReadyReason == "" {
		return yesNo(a.Ready)
	}
	return "no: " + a.NotReadyReason
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

// dump prints the instance's state as it came, indented for people.
func dump(s *session) error {
	if err := s.noArgument(); err != nil {
		return err
	}
	content, err := s.send(http.MethodGet, admapi.PathDump, nil)
	if err != nil {
		return err
	}
	if !s.json {
		var indented bytes.Buffer
		if json.Indent(&indented, content, "", "  ") == nil {
			content = indented.Bytes()
		}
	}
	_, err = fmt.Fprintln(s.stdout, strings.TrimSpace(string(content)))
	return err
}
