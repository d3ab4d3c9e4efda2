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

// exampleProvider is implemented by commands whose help ends with examples.
type exampleProvider interface{ examples() string }

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
	parser.LongDescription = "Manages the configuration and shows the decisions of the entry instances with their reasons. " +
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

// mustAdd panics if an options struct is malformed; such a fault would show in
// every run of the program.
func mustAdd(_ any, err error) {
	if err != nil {
		panic(fmt.Sprintf("invalid command-line definition: %v", err))
	}
}

// commandSpec defines one command.
type commandSpec struct {
	name  string
	short string
	long  string
	data  flags.Commander
}

func commandList(s *session) []commandSpec {
	return []commandSpec{
		{"check", "check a configuration text without applying it", "Parses a configuration text and lists all problems in it, by line.", &checkCommand{s: s}},
		{"apply", "apply a configuration text", "Checks a configuration text and puts it in force. Planned stops stay in force.", &applyCommand{s: s}},
		{"get", "print the configuration text in force", "Prints the configuration text exactly as it was applied.", &getCommand{s: s}},
		{"diff", "preview a configuration text or a planned stop", "Shows what a configuration text or planned stops would change: sections, slots by service and zone, whether urgent requests still fit, and how long moving the load takes under the shift cap. Changes nothing.", &diffCommand{s: s}},
		{"history", "list the configuration changes, newest first", "Lists the changes of the configuration with their time, author, kind and reason.", &historyCommand{s: s}},
		{"stop", "announce, cancel and list planned stops", "Announces a planned stop: new requests are routed elsewhere within seconds, requests in flight finish.", &stopCommand{s: s}},
		{"status", "show the status of instances, zones and planned stops", "Queries every reachable entry instance for its status.", &statusCommand{s: s}},
		{"explain", "show recorded decisions and their reasons", "Queries every reachable entry instance for its decisions about a request, an instance, a backend server, a zone or a service. With --log, explains a request from JSON logs of primrosenotch-edge, which may have a prefix before each line's object; the last line tells the cause.", &explainCommand{s: s}},
		{"route", "show where a request would go now", "Asks running primrosenotch-edge instances, those given with --entry or with --all the whole fleet, where a request would go now and why, without sending it. Only the SHA-256 of a key leaves this command.", &routeCommand{s: s}},
		{"report", "show error budget burn rates", "Merges the counts of every reachable entry instance into burn rates by service and rank.", &reportCommand{s: s}},
	}
}

func (s *session) execute(command flags.Commander, args []string) error {
	if command == nil {
		return &usageError{Message: "a command is required; see primrosenotch --help"}
	}
	if _, isReport := command.(*reportCommand); s.global.Format == formatHTML && !isReport {
		return &usageError{Message: "--format html is supported only by the report command"}
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
	if e, ok := commandData(s, parser, active).(exampleProvider); ok {
		fmt.Fprintf(s.env.Stdout, "\nExamples:\n%s", e.examples())
	}
	fmt.Fprintf(s.env.Stdout, "\n%s", exitCodeHelp)
}

// commandData returns the value that implements the active command; go-flags does
// not export it.
func commandData(s *session, parser *flags.Parser, active *flags.Command) any {
	if active == parser.Command {
		return &rootHelp{}
	}
	for _, c := range append(commandList(s), stopCommandList(s)...) {
		if c.name == active.Name {
			return c.data
		}
	}
	return nil
}

// rootHelp provides the examples for the help without a command.
type rootHelp struct{}

func (*rootHelp) examples() string {
	return `  primrosenotch check shop.ini
  primrosenotch diff shop.ini --platform 10.1.0.2:7000
  primrosenotch apply shop.ini -m "second checkout server in munich-b"
  primrosenotch stop backend:checkout-03 -m "new disk"
  primrosenotch status --entry 10.1.0.10:7400
`
}

// errorView is the output of an error with --format json.
type errorView struct {
	Error    string           `json:"error"`
	Hint     string           `json:"hint,omitempty"`
	ExitCode int              `json:"exit_code"`
	Problems []config.Problem `json:"problems,omitempty"`
	Winner   *conflictView    `json:"winner,omitempty"`
}

func (s *session) printError(err error) {
	hint := hintFor(err)
	var conflict *conflictError
	isConflict := errors.As(err, &conflict)
	if s.global.Format == formatJSON {
		f := errorView{Error: err.Error(), Hint: hint, ExitCode: exitCode(err)}
		var problems *config.Problems
		if errors.As(err, &problems) {
			f.Problems = problems.List
		}
		if isConflict {
			f.Winner = &conflict.winner
		}
		encoder := json.NewEncoder(s.env.Stderr)
		encoder.SetIndent("", "  ")
		_ = encoder.Encode(f) // nothing can be done if standard error fails
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
