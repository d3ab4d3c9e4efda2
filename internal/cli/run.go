package cli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/jessevdk/go-flags"
	"github.com/primrosenotch/primrosenotch/internal/config"
)

const programName = "primrosenotch"

// exampler is a command whose help ends with examples.
type exampler interface{ examples() string }

// Run parses the arguments, runs the command and returns the exit code.
func Run(ctx context.Context, env *Environment, args []string) int {
	global := &globalOptions{}
	s := &session{ctx: ctx, env: env, global: global}
	parser := newParser(s)
	_, err := parser.ParseArgs(args)
	return s.finish(parser, err)
}

func newParser(s *session) *flags.Parser {
	parser := flags.NewNamedParser(programName, flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = "Keeps the operators' text and reads back what the entry instances have decided and why. " +
		"Every command's --help ends with examples."
	mustAdd(parser.AddGroup("Options", "", s.global))
	for _, c := range commandList(s) {
		mustAdd(parser.AddCommand(c.name, c.short, c.long, c.data))
	}
	stop := parser.Find("stop")
	stop.SubcommandsOptional = true
	for _, c := range stopCommandList(s) {
		mustAdd(stop.AddCommand(c.name, c.short, c.long, c.data))
	}
	parser.CommandHandler = s.execute
	return parser
}

// mustAdd panics where an options struct is not well formed, which every run of
// the program would show.
func mustAdd(_ any, err error) {
	if err != nil {
		panic(fmt.Sprintf("command line definition: %v", err))
	}
}

// commandEntry is one line of the list of commands.
type commandEntry struct {
	name  string
	short string
	long  string
	data  flags.Commander
}

func commandList(s *session) []commandEntry {
	return []commandEntry{
		{"check", "check a text without applying it", "Reads a text and lists everything that is wrong with it, by line.", &checkCommand{s: s}},
		{"apply", "put a text in force", "Checks a text and puts it in force. Planned stops stay in force.", &applyCommand{s: s}},
		{"get", "print the text in force", "Prints the text exactly as it was applied.", &getCommand{s: s}},
		{"diff", "preview a text or a planned stop", "Shows what a text or planned stops would change: sections, slots by service and zone, whether urgent work still fits, and how long the move takes under the shift cap. Changes nothing.", &diffCommand{s: s}},
		{"history", "list the changes, the newest first", "Lists who changed what, when and why.", &historyCommand{s: s}},
		{"stop", "announce, cancel and list planned stops", "Announces a planned stop: new work goes elsewhere within seconds, work in flight finishes.", &stopCommand{s: s}},
		{"status", "show every instance, zone and planned stop", "Asks every reachable entry instance for its status.", &statusCommand{s: s}},
		{"explain", "show what was decided about something, and why", "Asks every reachable entry instance for its decisions about a request, an instance, a backend server, a zone or a service.", &explainCommand{s: s}},
		{"report", "show how fast error budgets are used up", "Merges the counts of every reachable entry instance into burn rates by service and rank.", &reportCommand{s: s}},
	}
}

func (s *session) execute(command flags.Commander, args []string) error {
	if command == nil {
		return &usageError{What: "name a command; see primrosenotch --help"}
	}
	if _, isReport := command.(*reportCommand); s.global.Format == formatHTML && !isReport {
		return &usageError{What: "--format html is for report only"}
	}
	ctx, cancel := context.WithTimeout(s.ctx, s.global.Timeout)
	defer cancel()
	s.ctx = ctx
	s.clients = newClients(s.env, s.global)
	return command.Execute(args)
}

func (s *session) finish(parser *flags.Parser, err error) int {
	var flagError *flags.Error
	if errors.As(err, &flagError) && flagError.Type == flags.ErrHelp {
		s.printHelp(parser, flagError.Message)
		return ExitOK
	}
	if err != nil {
		s.printError(err)
	}
	return exitCode(err)
}

func (s *session) printHelp(parser *flags.Parser, message string) {
	fmt.Fprint(s.env.Stdout, message)
	active := parser.Command
	for active.Active != nil {
		active = active.Active
	}
	if e, ok := commandData(s, parser, active).(exampler); ok {
		fmt.Fprintf(s.env.Stdout, "\nExamples:\n%s", e.examples())
	}
	fmt.Fprintf(s.env.Stdout, "\n%s", exitCodeHelp)
}

// commandData returns the command's own value, which go-flags does not export.
func commandData(s *session, parser *flags.Parser, active *flags.Command) any {
	if active == parser.Command {
		return &overview{}
	}
	for _, c := range append(commandList(s), stopCommandList(s)...) {
		if c.name == active.Name {
			return c.data
		}
	}
	return nil
}

// overview holds the examples of the program's own help.
type overview struct{}

func (*overview) examples() string {
	return `  primrosenotch check shop.ini
  primrosenotch diff shop.ini --platform 10.1.0.2:7000
  primrosenotch apply shop.ini -m "second checkout server in munich-b"
  primrosenotch stop backend:checkout-03 -m "new disk"
  primrosenotch status --entry 10.1.0.10:7400
`
}

// failure is an error as --format json prints it.
type failure struct {
	Error    string           `json:"error"`
	Hint     string           `json:"hint,omitempty"`
	ExitCode int              `json:"exit_code"`
	Problems []config.Problem `json:"problems,omitempty"`
	Winner   *conflictView    `json:"winner,omitempty"`
}

func (s *session) printError(err error) {
	hint := hintOf(err)
	var conflict *conflictError
	isConflict := errors.As(err, &conflict)
	if s.global.Format == formatJSON {
		f := failure{Error: err.Error(), Hint: hint, ExitCode: exitCode(err)}
		var problems *config.Problems
		if errors.As(err, &problems) {
			f.Problems = problems.List
		}
		if isConflict {
			f.Winner = &conflict.winner
		}
		encoder := json.NewEncoder(s.env.Stderr)
		encoder.SetIndent("", "  ")
		_ = encoder.Encode(f) // nothing is left to report a failure to
		return
	}
	if isConflict {
		conflict.winner.writeText(s.env.Stderr)
	}
	fmt.Fprintln(s.env.Stderr, err)
	if hint != "" {
		fmt.Fprintf(s.env.Stderr, "hint: %s\n", hint)
	}
}
