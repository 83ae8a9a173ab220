package trial

import (
	"errors"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/buckthorntide/buckthorntide/caller"
)

// TestMissingDependency takes the only upstream of a service away on which the
// model service depends: new programs are refused early, running ones go on.
// The services may have their homes at different instances.
func TestMissingDependency(t *testing.T) {
	c := newCluster(t, options{instances: 3, engines: 2})
	text := c.text
	text.Services[0].DependsOn = []string{"booking"}
	c.apply(text)
	client := c.client(0, c.issueKey("fes").Key)
	defer client.Close()
	running := open(t, client, "")
	_, err := running.say(t.Context(), client, "", "Which obi fits?")
	assert.NilError(t, err)

	c.booking.Close()
	c.eventually("a new program is refused", func() error {
		_, err := open(t, client, "").say(t.Context(), client, "", "Hello")
		var refused *caller.RefusedError
		if errors.As(err, &refused) && refused.Code == "dependency" && refused.RunState == "notRun" {
			return nil
		}
		return errors.New("not yet")
	})
	_, err = running.say(t.Context(), client, "", "And in blue?")
	assert.NilError(t, err, "a running program goes on")

	assert.NilError(t, c.booking.Start())
	c.eventually("a new program is taken", func() error {
		_, err := open(t, client, "").say(t.Context(), client, "", "Hello")
		return err
	})
}
