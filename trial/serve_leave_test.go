package trial

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/buckthorntide/buckthorntide/stand"
)

// TestLeavingUpstreamGetsNoNewWork takes an engine out of the text under load.
// What it runs by then it runs to the end. The counting begins a few turns
// after every instance has the text, when no call is on its way any more.
func TestLeavingUpstreamGetsNoNewWork(t *testing.T) {
	c := newCluster(t, options{instances: 3, engines: 3, engine: stand.EngineConfig{DecodeTokensPerSecond: slowDecode}})
	l := c.talk(c.issueKey("fes").Key, 16, 8)
	l.awaitTurns(16)
	leaving := c.engines[2]
	text := c.text
	text.Services[0].Upstreams = text.Services[0].Upstreams[:2]
	c.apply(text)
	c.awaitRevision(c.instances, c.revision)
	l.awaitTurns(l.turns.Load() + 4)
	before := leaving.Stats().Requests
	l.wait()
	stats := leaving.Stats()
	assert.Assert(t, before > 0, "the engine had work")
	assert.Equal(t, stats.Requests, before)
	assert.Equal(t, stats.Completed, stats.Runs, "%d cancelled", stats.Cancelled)
}

// TestCutStreamsGiveWholeAnswers cuts the streams of every engine halfway, over
// and over. The callers check each answer.
func TestCutStreamsGiveWholeAnswers(t *testing.T) {
	const cuts = 6
	c := newCluster(t, options{instances: 3, engines: 3, engine: stand.EngineConfig{DecodeTokensPerSecond: slowDecode}})
	l := c.talk(c.issueKey("fes").Key, 16, 8)
	for range 3 {
		l.awaitTurns(l.turns.Load() + 8)
		for _, e := range c.engines {
			e.SetFaults(stand.EngineFaults{CutStreamNext: cuts})
		}
	}
	l.wait()
	assert.Equal(t, l.turns.Load(), int64(16*8))
}
