package trial

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/buckthorntide/buckthorntide/admapi"
)

const (
	// settleTime lets seats and homes come to rest before the count begins.
	settleTime = 5 * time.Second
	// countTime is how long the cost is counted.
	countTime = 10 * time.Second
	// ticksPerSecond is the unit of the processor times in /proc.
	ticksPerSecond = 100
)

type (
	// cost is what an instance has used since its start.
	cost struct {
		seconds  float64
		bytes    int64
		messages int64
		resident float64
	}

	meterDump struct {
		Metrics map[string]struct {
			Count int64 `json:"count"`
		} `json:"metrics"`
	}
)

// BenchmarkControlCost measures what idle instances spend on control:
// go test ./trial -run '^$' -bench ControlCost -benchtime 1x.
func BenchmarkControlCost(b *testing.B) {
	for _, instances := range []int{3, 6, 12, 24} {
		b.Run(strconv.Itoa(instances), func(b *testing.B) {
			c := newCluster(b, options{instances: instances, engines: 1})
			time.Sleep(settleTime)
			for b.Loop() {
				before, reads := c.costs(), c.platform.Stats()
				time.Sleep(countTime)
				c.report(b, before, c.costs())
				b.ReportMetric(float64(c.platform.Stats().Reads-reads.Reads)/countTime.Seconds(), "reads/s")
				b.ReportMetric(float64(c.platform.Stats().Commits-reads.Commits)/countTime.Seconds(), "commits/s")
			}
		})
	}
}

func (c *cluster) report(b *testing.B, before, after []cost) {
	var cpu, bytes, messages, resident float64
	for i := range before {
		cpu += after[i].seconds - before[i].seconds
		bytes += float64(after[i].bytes - before[i].bytes)
		messages += float64(after[i].messages - before[i].messages)
		resident = max(resident, after[i].resident)
	}
	n := float64(len(before)) * countTime.Seconds()
	b.ReportMetric(100*cpu/n, "%core/instance")
	b.ReportMetric(bytes/n, "B/s/instance")
	b.ReportMetric(messages/n, "messages/s/instance")
	b.ReportMetric(resident, "maxRSS-MB")
}

func (c *cluster) costs() []cost {
	c.t.Helper()
	out := make([]cost, 0, len(c.instances))
	for _, i := range c.instances {
		out = append(out, c.costOf(i))
	}
	return out
}

// costOf counts the bytes that the instance sent and received by messages
// between instances.
func (c *cluster) costOf(i *instance) cost {
	c.t.Helper()
	var dump meterDump
	assert.NilError(c.t, c.operate(i, http.MethodGet, admapi.PathDump, nil, &dump))
	var used cost
	for name, counter := range dump.Metrics {
		if !strings.HasPrefix(name, "peer.") {
			continue
		}
		if strings.HasSuffix(name, ".bytes") {
			used.bytes += counter.Count
		} else {
			used.messages += counter.Count
		}
	}
	used.seconds = c.processorSeconds(i)
	used.resident = c.residentMegabytes(i)
	return used
}

func (c *cluster) processorSeconds(i *instance) float64 {
	c.t.Helper()
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", i.cmd.Process.Pid))
	assert.NilError(c.t, err)
	fields := strings.Fields(string(raw[strings.LastIndexByte(string(raw), ')')+2:]))
	user, err := strconv.ParseFloat(fields[11], 64)
	assert.NilError(c.t, err)
	system, err := strconv.ParseFloat(fields[12], 64)
	assert.NilError(c.t, err)
	return (user + system) / ticksPerSecond
}

func (c *cluster) residentMegabytes(i *instance) float64 {
	c.t.Helper()
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", i.cmd.Process.Pid))
	assert.NilError(c.t, err)
	var size, resident float64
	_, err = fmt.Sscan(string(raw), &size, &resident)
	assert.NilError(c.t, err)
	return resident * float64(os.Getpagesize()) / (1 << 20)
}

// TestDumpCountsMessages keeps the benchmark's source of bytes honest.
func TestDumpCountsMessages(t *testing.T) {
	c := newCluster(t, options{instances: 2, engines: 1})
	c.eventually("messages are counted", func() error {
		var dump json.RawMessage
		if err := c.operate(c.instances[0], http.MethodGet, admapi.PathDump, nil, &dump); err != nil {
			return err
		}
		if used := c.costOf(c.instances[0]); used.messages == 0 || used.bytes == 0 {
			return fmt.Errorf("nothing counted: %+v", used)
		}
		return nil
	})
}
