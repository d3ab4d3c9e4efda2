package membership

import (
	"fmt"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"github.com/primrosenotch/primrosenotch/internal/config"
)

// TestGoldenSession compares a log with a golden file: every note, and how many
// backend servers each instance owns, while instances are killed, restarted, paused
// and stopped, and a zone is cut off and healed.
func TestGoldenSession(t *testing.T) {
	c := sevenInstances(Settings{})
	c.step("start", 5*time.Second, func() {})
	c.step("kill i0", 4*time.Second, func() { c.kill(c.byID["i0"]) })
	c.step("restart i0", 4*time.Second, func() { c.start(c.byID["i0"], c.byID["i5"]) })
	c.step("pause i3 for 1.5 s", 1500*time.Millisecond, func() { c.byID["i3"].paused = true })
	c.step("resume i3", 2*time.Second, func() { c.resume(c.byID["i3"]) })
	c.step("cut r01-a off", 6*time.Second, func() {
		c.partition(func(a, b *node) bool { return (a.zone == zoneName(2)) != (b.zone == zoneName(2)) })
	})
	c.step("heal", 6*time.Second, func() { c.partition(noCut) })
	c.step("stop i6", 2*time.Second, func() {
		for _, n := range c.nodes {
			stop := config.Stop{Scope: config.StopInstance, Target: "i6"}
			c.apply(n, n.group.Configure(c.now, c.text, []config.Stop{stop}))
		}
	})
	goldie.New(t).Assert(t, "session", []byte(c.log.String()))
}

// step calls do, advances the time by d, and logs how many backend servers each
// instance owns.
func (c *cluster) step(what string, d time.Duration, do func()) {
	fmt.Fprintf(&c.log, "== %s\n", what)
	do()
	c.run(d)
	for _, n := range c.nodes {
		fmt.Fprintf(&c.log, "%s owns %d\n", n.id, len(n.group.Owned()))
	}
}
