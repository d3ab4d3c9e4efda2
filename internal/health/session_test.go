package health

import (
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"github.com/primrosenotch/primrosenotch/internal/config"
)

func TestSessions(t *testing.T) {
	sessions := map[string]string{
		"failures": `
			0 configure
			1 outcome permits-1 broken
			1.1 outcome permits-1 shed
			1.2 outcome permits-1 timeout
			1.3 outcome permits-1 failed
			1.4 outcome permits-1 cut
			1.5 outcome permits-1 cancelled
			1.6 outcome permits-1 stale
			1.7 outcome permits-1 broken
			2 report permits-1
			3 outcome permits-1 complete
			8 tick
			8.1 probes
			8.2 report permits-1 error
			17 tick
			30 tick
			30.5 report permits-1
			45 tick
			46 tick
			61 tick
			76.1 tick`,
		"all-refuse": `
			0 configure
			1 outcome permits-1 not-sent
			1.1 outcome permits-1 not-sent
			1.2 outcome permits-2 not-sent
			1.3 outcome permits-2 not-sent
			1.4 outcome permits-3 not-sent
			1.5 outcome permits-3 complete
			1.6 outcome permits-3 not-sent
			1.7 outcome permits-3 not-sent`,
		"trial": `
			0 configure
			1 outcome permits-1 not-sent
			1.1 outcome permits-1 not-sent
			7 tick
			8 report permits-1 unhealthy
			9 outcome permits-1 complete
			24 tick`,
		"misleading-reports": `
			0 configure
			1 outcome permits-1 complete
			1.1 report permits-1 unhealthy
			2 report permits-2 unhealthy
			2.1 report permits-3 unhealthy
			2.2 report permits-3 old unhealthy
			3 report permits-2
			4 report permits-3 cold
			4.1 report permits-1 cold`,
		"drains": `
			0 configure
			1 outcome permits-1 complete draining
			2 leaving permits-1
			3 report permits-1
			12 report permits-1
			13 staying permits-1
			20 stop zone petrolina-a
			20 configure
			30 cancel-stops
			30 configure
			31 stop region petrolina
			31 configure
			32 cancel-stops
			32 stop backend permits-2
			32 configure`,
		"new-server": `
			0 configure
			1 add permits-4
			1 configure
			5 tick
			26 tick
			52 tick
			83 tick`,
	}
	golden := goldie.New(t)
	for name, script := range sessions {
		t.Run(name, func(t *testing.T) {
			s := &session{servers: threeSlotServers(3), tracker: New(Settings{
				ShiftCap: config.ShiftCap{Fraction: 0.15, Window: 30 * time.Second},
			})}
			golden.Assert(t, name, []byte(s.run(script)))
		})
	}
}
