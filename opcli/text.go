package opcli

import (
	"net/http"
	"os"

	"github.com/juju/errors"

	"github.com/buckthorntide/buckthorntide/admapi"
	"github.com/buckthorntide/buckthorntide/conf"
	"github.com/buckthorntide/buckthorntide/platform"
	"github.com/buckthorntide/buckthorntide/site"
)

type (
	// checkResult is what check prints for programs.
	checkResult struct {
		File   string         `json:"file"`
		Faults []admapi.Fault `json:"faults"`
	}

	// applyResult is what apply prints for programs.
	applyResult struct {
		// Revision is the revision that stands now.
		Revision int64 `json:"revision"`
		// Applied says that this run made the revision.
		Applied bool            `json:"applied"`
		Changes []admapi.Change `json:"changes"`
	}
)

// check validates a file without an instance.
func check(s *session) error {
	file, err := s.argument("the file to check")
	if err != nil {
		return err
	}
	source, err := readFile(file)
	if err != nil {
		return err
	}
	if err := s.checkSource(source); err != nil {
		return parseFailure(file, err)
	}
	s.line("%s is without faults", file)
	return s.object(checkResult{File: file, Faults: []admapi.Fault{}})
}

// checkSource returns what is wrong with a file of the kind that the flags name.
func (s *session) checkSource(source []byte) error {
	var err error
	switch {
	case s.settings:
		_, err = conf.ParseSettings(source)
	case s.front:
		_, err = conf.ParseFrontSettings(source)
	case s.platform:
		err = checkPlatform(source)
	default:
		_, err = conf.ParseText(source)
	}
	return err
}

// checkPlatform checks a configuration as the operators' platform stores it.
func checkPlatform(source []byte) error {
	config, err := platform.DecodeConfig(source)
	if err != nil {
		return &conf.FaultsError{Faults: []conf.Fault{{Message: err.Error()}}}
	}
	problems := site.Check(config)
	if len(problems) == 0 {
		return nil
	}
	faults := make([]conf.Fault, 0, len(problems))
	for _, p := range problems {
		faults = append(faults, conf.Fault{Field: p.Where, Message: p.Message})
	}
	return &conf.FaultsError{Faults: faults}
}

// readFile reads a file that the operator named.
func readFile(file string) ([]byte, error) {
	source, err := os.ReadFile(file)
	if err != nil {
		return nil, badInput(err.Error(), "name a file that can be read")
	}
	return source, nil
}

// parseFailure lists a file's faults.
func parseFailure(file string, err error) error {
	var faults *conf.FaultsError
	if !errors.As(err, &faults) {
		return err
	}
	return faulty(file, faults.Faults)
}

// apply shows what a text changes and makes it the next revision.
func apply(s *session) error {
	file, err := s.argument("the file with the text")
	if err != nil {
		return err
	}
	source, err := readFile(file)
	if err != nil {
		return err
	}
	newer, err := conf.ParseText(source)
	if err != nil {
		return parseFailure(file, err)
	}
	var current admapi.TextResponse
	if err := s.call(http.MethodGet, admapi.PathText, nil, &current); err != nil {
		return err
	}
	if s.base != noBase && s.base != current.Revision {
		return conflict(s.base, current.Revision)
	}
	return s.applyOver(current, newer, string(source))
}

// applyOver shows the difference to the text that stands and replaces it.
func (s *session) applyOver(current admapi.TextResponse, newer conf.Text, source string) error {
	changes := changesFrom(current.Text, newer)
	s.printChanges(changes)
	if s.dryRun || (current.Revision > 0 && current.Text == source) {
		s.line("revision %d stands; nothing was applied", current.Revision)
		return s.object(applyResult{Revision: current.Revision, Changes: changes})
	}
	var answer admapi.PutTextResponse
	request := admapi.PutTextRequest{Base: current.Revision, Text: source}
	if err := s.call(http.MethodPut, admapi.PathText, request, &answer); err != nil {
		return err
	}
	s.line("revision %d is accepted", answer.Revision)
	return s.object(applyResult{Revision: answer.Revision, Applied: true, Changes: changes})
}

// changesFrom compares with the text that stands; one that this program can't
// read counts as empty.
func changesFrom(current string, newer conf.Text) []admapi.Change {
	older, err := conf.ParseText([]byte(current))
	if err != nil {
		older = conf.Text{}
	}
	differences := conf.Diff(older, newer)
	changes := make([]admapi.Change, 0, len(differences))
	for _, c := range differences {
		changes = append(changes, admapi.Change(c))
	}
	return changes
}

// printChanges lists changes for people.
func (s *session) printChanges(changes []admapi.Change) {
	for _, c := range changes {
		s.line("%s: %s", c.Subject, c.Message)
	}
	if len(changes) == 0 {
		s.line("no service, upstream, team or failure domain changes")
	}
}
