package trial

import (
	"bytes"
	"encoding/json"
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/buckthorntide/buckthorntide/admapi"
	"github.com/buckthorntide/buckthorntide/opcli"
)

// command is one run of an operator's command.
type command struct {
	stdout, stderr string
	exit           int
}

// TestOperatorCommands uses every command of an operator against three running
// instances.
func TestOperatorCommands(t *testing.T) {
	c := newCluster(t, options{instances: 3, engines: 1})
	at := func(n int, words ...string) []string {
		return append(words, "-admin", c.instances[n].admin, "-key", adminKey)
	}
	good := c.write("good.jsonc", "// edited\n"+c.numberedText(7))
	bad := c.write("bad.jsonc", "{\n  \"teams\": [\n    {\"name\": \"fes\", \"burst\": -1}\n  ]\n}")

	t.Run("bad input, a wrong key and an instance that is gone are told apart", func(t *testing.T) {
		tests := []struct {
			name  string
			words []string
			exit  int
			says  string
		}{
			{"no such command", []string{"aply"}, opcli.ExitBadInput, "usage:"},
			{"check: a text with faults", []string{"check", bad}, opcli.ExitBadInput, "line 3: teams[0]"},
			{"check: no such file", []string{"check", bad + ".no"}, opcli.ExitBadInput, "no such file"},
			{"apply: a text with faults", at(0, "apply", bad), opcli.ExitBadInput, "line 3: teams[0]"},
			{"apply: a stale base", at(1, "apply", good, "-base", "99"), opcli.ExitConflict, "revision 1 stands"},
			{"keys: no such team", at(1, "keys", "issue", "-team", "nobody"), opcli.ExitBadInput, "nobody"},
			{"keys: no such key", at(1, "keys", "withdraw", "0123456789ab"), opcli.ExitBadInput, "error:"},
			{"domain: no such domain", at(2, "domain", "out", "z"), opcli.ExitBadInput, "unknown failure domain"},
			{"status: no address", []string{"status"}, opcli.ExitBadInput, "-admin"},
			{"status: not an address", []string{"status", "-admin", "here"}, opcli.ExitBadInput, "IP:port"},
			{"status: no key", []string{"status", "-admin", c.instances[0].admin}, opcli.ExitUnauthorised, "admin key"},
			{"dump: a caller's key", []string{"dump", "-admin", c.instances[0].admin, "-key", c.issueKey("fes").Key}, opcli.ExitUnauthorised, "admin key"},
			{"drain: nobody there", []string{"drain", "-admin", c.nextHost() + ":8081", "-key", adminKey}, opcli.ExitNotReachable, "next:"},
		}
		for _, tt := range tests {
			got := c.run(tt.words...)
			assert.Equal(t, got.exit, tt.exit, "%s: %+v", tt.name, got)
			assert.Assert(t, strings.Contains(got.stderr, tt.says), "%s: %+v", tt.name, got)
		}
		status, err := c.status(c.instances[0])
		assert.NilError(t, err)
		assert.Equal(t, status.TextRevision, c.revision)
		assert.Equal(t, len(status.DomainsOut), 0)
	})
	t.Run("a text is checked and applied", func(t *testing.T) {
		c.succeed("check", good)
		c.succeed(at(0, "apply", good, "-dryRun")...)
		got := c.succeed(at(0, "apply", good, "-base", strconv.FormatInt(c.revision, 10))...)
		assert.Assert(t, strings.Contains(got.stdout, "revision 2 is accepted"), got.stdout)
		c.revision = 2
		c.awaitRevision(c.instances, c.revision)
		again := c.succeed(at(2, "apply", good)...)
		assert.Assert(t, strings.Contains(again.stdout, "nothing was applied"), again.stdout)
	})
	t.Run("a key is issued, listed and withdrawn", func(t *testing.T) {
		var issued admapi.IssueKeyResponse
		c.read(&issued, at(0, "keys", "issue", "-team", "fes", "-label", "till", "-json")...)
		client := c.client(1, issued.Key)
		defer client.Close()
		c.eventually("the key works", func() error { return tryOnce(t.Context(), client, look("")) })
		assert.Assert(t, strings.Contains(c.succeed(at(2, "keys", "list")...).stdout, "till"))
		c.succeed(at(2, "keys", "withdraw", issued.ID)...)
		c.eventually("the key works no more", func() error {
			if codeOf(tryOnce(t.Context(), client, look(""))) != codeUnauthorised {
				return errors.New("it does")
			}
			return nil
		})
	})
	t.Run("an operator's key is issued and withdrawn", func(t *testing.T) {
		var issued admapi.IssueKeyResponse
		c.read(&issued, at(0, "keys", "issue", "-operator", "-json")...)
		use := []string{"status", "-admin", c.instances[1].admin, "-key", issued.Key}
		c.awaitExit(opcli.ExitOK, use...)
		c.succeed(at(2, "keys", "withdraw", issued.Key)...)
		c.awaitExit(opcli.ExitUnauthorised, use...)
	})
	t.Run("a failure domain goes out and comes back", func(t *testing.T) {
		for _, direction := range []string{"out", "in"} {
			var reply admapi.PutTextResponse
			c.read(&reply, at(0, "domain", direction, "b", "-json")...)
			c.awaitRevision(c.instances, reply.Revision)
			got := c.succeed(at(1, "status")...)
			assert.Equal(t, strings.Contains(got.stdout, "failure domain is taken out"), direction == "out", got.stdout)
		}
	})
	t.Run("status and dump show the instance", func(t *testing.T) {
		for n, i := range c.instances {
			var status admapi.StatusResponse
			c.read(&status, at(n, "status", "-json")...)
			assert.Equal(t, status.Instance, i.name)
			assert.Equal(t, len(status.Instances), len(c.instances))
			var dump struct {
				Status admapi.StatusResponse `json:"status"`
			}
			c.read(&dump, at(n, "dump")...)
			assert.Equal(t, dump.Status.Instance, i.name)
		}
	})
	t.Run("an instance is drained and ends", func(t *testing.T) {
		c.succeed(at(2, "drain")...)
		assert.NilError(t, <-c.instances[2].exited)
		c.instances[2].exited <- nil
		c.awaitExit(opcli.ExitNotReachable, at(2, "status")...)
		c.succeed(at(0, "status")...)
	})
}

// run runs the product's binary with the words, without the test's own
// settings.
func (c *cluster) run(words ...string) command {
	c.t.Helper()
	binary, err := buildOnce()
	assert.NilError(c.t, err, binary)
	var stdout, stderr bytes.Buffer
	cmd := exec.CommandContext(c.t.Context(), binary, words...)
	cmd.Env = []string{}
	cmd.Stdout, cmd.Stderr = &stdout, &stderr
	err = cmd.Run()
	var exit *exec.ExitError
	assert.Assert(c.t, err == nil || errors.As(err, &exit), "%v", err)
	return command{stdout: stdout.String(), stderr: stderr.String(), exit: cmd.ProcessState.ExitCode()}
}

// succeed runs a command that must succeed.
func (c *cluster) succeed(words ...string) command {
	c.t.Helper()
	got := c.run(words...)
	assert.Equal(c.t, got.exit, opcli.ExitOK, "%v: %+v", words, got)
	return got
}

// read runs a command that must succeed and reads its JSON.
func (c *cluster) read(out any, words ...string) {
	c.t.Helper()
	got := c.succeed(words...)
	assert.NilError(c.t, json.Unmarshal([]byte(got.stdout), out), got.stdout)
}

// awaitExit repeats a command until it ends with the exit code.
func (c *cluster) awaitExit(exit int, words ...string) {
	c.t.Helper()
	c.eventually(strings.Join(words[:1], " "), func() error {
		if got := c.run(words...); got.exit != exit {
			return errors.New(got.stderr)
		}
		return nil
	})
}

// write writes a file for a command to read.
func (c *cluster) write(name, content string) string {
	c.t.Helper()
	path := filepath.Join(c.t.TempDir(), name)
	assert.NilError(c.t, os.WriteFile(path, []byte(content), 0o600))
	return path
}
