package cli

import (
	"fmt"
	"io"

	"github.com/primrosenotch/primrosenotch/internal/config"
	"github.com/primrosenotch/primrosenotch/internal/model"
	"github.com/samber/lo"
)

type checkCommand struct {
	s    *session
	Args struct {
		File string `positional-arg-name:"FILE" description:"file with the configuration text"`
	} `positional-args:"true" required:"true"`
}

func (*checkCommand) examples() string {
	return `  primrosenotch check shop.ini
  primrosenotch check shop.ini --format json
`
}

// Execute implements flags.Commander.
func (c *checkCommand) Execute([]string) error {
	text, _, err := c.s.readText(c.Args.File)
	if err != nil {
		return err
	}
	return c.s.print(summarize(c.Args.File, text))
}

// readText reads and parses a configuration text; it returns the parsed text and
// its source.
func (s *session) readText(name string) (*config.Text, []byte, error) {
	source, err := s.env.ReadFile(name)
	if err != nil {
		return nil, nil, fmt.Errorf("read configuration text: %w", err)
	}
	text, err := config.Parse(name, source)
	if err != nil {
		return nil, nil, err
	}
	return text, source, nil
}

// textSummary is the output of check for a valid configuration text.
type textSummary struct {
	File     string `json:"file"`
	Regions  int    `json:"regions"`
	Zones    int    `json:"zones"`
	Services int    `json:"services"`
	Routes   int    `json:"routes"`
	Backends int    `json:"backends"`
	Slots    int    `json:"slots"`
	Callers  int    `json:"caller_groups"`
	Blocks   int    `json:"blocks"`
}

func summarize(file string, t *config.Text) *textSummary {
	return &textSummary{
		File:     file,
		Regions:  len(lo.UniqBy(t.Zones, func(z config.Zone) model.RegionName { return z.Region })),
		Zones:    len(t.Zones),
		Services: len(t.Services),
		Routes:   len(t.Routes),
		Backends: len(t.Backends),
		Slots:    lo.SumBy(t.Backends, func(b config.Backend) int { return b.Slots }),
		Callers:  len(t.Callers),
		Blocks:   lo.SumBy(t.Callers, func(c config.CallerGroup) int { return len(c.Blocks) }),
	}
}

func (t *textSummary) writeText(w io.Writer) {
	fmt.Fprintf(w, "%s: valid\n", t.File)
	fmt.Fprintf(w, "%d regions, %d zones, %d services, %d routes\n", t.Regions, t.Zones, t.Services, t.Routes)
	fmt.Fprintf(w, "%d backend servers with %d slots\n", t.Backends, t.Slots)
	fmt.Fprintf(w, "%d caller groups with %d blocks\n", t.Callers, t.Blocks)
}
