package resume

import (
	"encoding/json"
	"slices"
	"strconv"
	"time"

	"github.com/juju/errors"

	"github.com/buckthorntide/buckthorntide/rows"
)

const (
	// VersionTable holds the software versions of each service.
	VersionTable = "versions"

	// maxVersions and maxVersionBytes bound what entries of other writers can add to
	// a row.
	maxVersions     = 32
	maxVersionBytes = 200
	// unreadable stands for the versions of a row that can't be decoded.
	unreadable = "(unreadable)"
)

type (
	// Listed is a version in a service's row.
	Listed struct {
		Version string `json:"version"`
		// Retiring identifies the write after which no more streams begin at the
		// version; it is empty while they do.
		Retiring string `json:"retiring,omitempty"`
		// Base identifies the write since which streams without a row began at the
		// version; it is empty for all others.
		Base string `json:"base,omitempty"`
	}

	// listing is the value of a service's row.
	listing struct {
		Versions []Listed `json:"versions"`
		// Writer makes each written value unique.
		Writer string `json:"writer"`
	}

	// state is what an instance knows of a service's row.
	state struct {
		row      rows.Row
		versions []Listed
		// absentSince is since when the view lacks a version, retiringSince since
		// when this instance knows that a version is retiring, by Listed.Retiring.
		absentSince   map[string]time.Duration
		retiringSince map[string]time.Duration
		// baseSince is since when this instance knows the base, and announced the
		// Listed.Base for which it has announced itself.
		baseSince time.Duration
		announced string
	}
)

func versionID(service string) rows.ID { return rows.ID{Table: VersionTable, Key: service} }

// decodeListing reads a row. One that can't be read may have had any versions.
func decodeListing(row rows.Row) ([]Listed, error) {
	if row.Version == 0 || row.Deleted {
		return nil, nil
	}
	var l listing
	err := json.Unmarshal(row.Value, &l)
	if err == nil && len(l.Versions) == 0 {
		err = errors.New("no versions")
	}
	if err != nil {
		return []Listed{{Version: unreadable, Retiring: strconv.FormatInt(row.Version, 10)}}, errors.Trace(err)
	}
	return l.Versions, nil
}

// single returns the only version at which streams can have begun.
func single(versions []Listed) (string, bool) {
	if len(versions) != 1 || versions[0].Version == unreadable {
		return "", false
	}
	return versions[0].Version, true
}

// mixed reports whether streams of several versions may be open.
func mixed(versions []Listed) bool {
	return len(versions) > 1 || len(versions) == 1 && versions[0].Version == unreadable
}

// base returns the version at which streams without a row have begun.
func base(versions []Listed) (Listed, bool) {
	i := slices.IndexFunc(versions, func(l Listed) bool { return l.Base != "" })
	if i < 0 || len(versions) == 1 {
		return Listed{}, false
	}
	return versions[i], true
}

// active returns the versions at which streams may begin. It is never nil.
func active(versions []Listed) []string {
	found := make([]string, 0, len(versions))
	for _, l := range versions {
		if l.Retiring == "" {
			found = append(found, l.Version)
		}
	}
	return found
}

// add returns the versions with the present ones active, and whether that changes
// them.
func add(versions []Listed, present []string, writer string) ([]Listed, bool) {
	next := slices.Clone(versions)
	if _, ok := single(next); ok {
		// Its streams have no rows.
		next[0].Base = writer
	}
	changed := false
	for _, v := range present {
		i := slices.IndexFunc(next, func(l Listed) bool { return l.Version == v })
		switch {
		case i >= 0 && next[i].Retiring != "":
			next[i].Retiring, changed = "", true
		case i < 0 && len(next) < maxVersions && len(v) <= maxVersionBytes && v != unreadable:
			next, changed = append(next, Listed{Version: v}), true
		}
	}
	return next, changed
}

// retire returns the versions with the absent ones retiring.
func retire(versions []Listed, absent []string, writer string) []Listed {
	next := slices.Clone(versions)
	for i, l := range next {
		if l.Retiring == "" && slices.Contains(absent, l.Version) {
			next[i].Retiring, next[i].Base = writer, ""
		}
	}
	return next
}
