package opcli

import (
	"fmt"
	"net/http"
	"strings"

	"github.com/buckthorntide/buckthorntide/admapi"
	"github.com/buckthorntide/buckthorntide/keys"
)

// shortIDDigits is how many digits of a key's id a table shows.
const shortIDDigits = 12

// issueKey issues a key and shows it.
func issueKey(s *session) error {
	if err := s.noArgument(); err != nil {
		return err
	}
	if (s.team == "") != s.operator {
		return badInput("a key stands for a team or for an operator", "give either -team TEAM or -operator")
	}
	var answer admapi.IssueKeyResponse
	request := admapi.IssueKeyRequest{Team: s.team, Label: s.label, Admin: s.operator}
	if err := s.call(http.MethodPost, admapi.PathKeys, request, &answer); err != nil {
		return err
	}
	s.line("key  %s", answer.Key)
	s.line("id   %s", answer.ID)
	s.line("Keep the key now; it is shown only once.")
	return s.object(answer)
}

// withdrawKey withdraws the key of an id, or a key itself, whose hash alone is
// sent.
func withdrawKey(s *session) error {
	text, err := s.argument("the key's id, or the key")
	if err != nil {
		return err
	}
	id, err := s.keyID(text)
	if err != nil {
		return err
	}
	var answer admapi.WithdrawKeyResponse
	if err := s.call(http.MethodDelete, admapi.KeyPath(id)+s.adminQuery(), nil, &answer); err != nil {
		return err
	}
	s.line("key %s is withdrawn", answer.ID)
	return s.object(answer)
}

// keyID returns the id that the text names, and notes which kind it is of.
func (s *session) keyID(text string) (string, error) {
	for _, kind := range []keys.Kind{keys.CallerKind, keys.AdminKind} {
		if !strings.HasPrefix(text, kind.Prefix()) {
			continue
		}
		s.operator = kind == keys.AdminKind
		hash, err := keys.HashKey(kind, text)
		if err != nil {
			return "", badInput("this is not a whole key", "give the whole key, or its id from keys list")
		}
		return hash.String(), nil
	}
	return text, nil
}

// listKeys lists the keys of one kind.
func listKeys(s *session) error {
	if err := s.noArgument(); err != nil {
		return err
	}
	var answer admapi.KeysResponse
	if err := s.call(http.MethodGet, admapi.PathKeys+s.adminQuery(), nil, &answer); err != nil {
		return err
	}
	rows := make([]string, 0, len(answer.Keys))
	for _, k := range answer.Keys {
		rows = append(rows, keyRow(k))
	}
	s.table("ID\tTEAM\tLABEL\tISSUED AT\tSTATE", rows)
	return s.object(answer)
}

// keyRow returns a key's row of the table.
func keyRow(k admapi.Key) string {
	state := "issued"
	if k.Withdrawn {
		state = "withdrawn"
	}
	return fmt.Sprintf("%s\t%s\t%s\t%d\t%s", k.ID[:min(len(k.ID), shortIDDigits)], orDash(k.Team), orDash(k.Label), k.IssuedAt, state)
}

// adminQuery asks for admin keys where -operator was given.
func (s *session) adminQuery() string {
	if s.operator {
		return "?" + admapi.QueryAdmin + "=true"
	}
	return ""
}

// orDash stands in for an empty cell.
func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}
