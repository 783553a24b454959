package factory

import (
	"strings"

	"github.com/integrii/flaggy"
	"github.com/pkg/errors"

	"toucanport/toucanchange"
	"toucanport/toucandocument"
)

// ErrUsage is matched by errors about invalid arguments or flags.
var ErrUsage = errors.New("wrong use")

// Exit codes of all commands.
const (
	ExitOK             = 0
	ExitFailed         = 1
	ExitUsage          = 2
	ExitConflict       = 3
	ExitOutcomeUnknown = 4
)

// ExitCode maps the error returned by a command to the exit code of the process.
func ExitCode(err error) int {
	switch {
	case err == nil:
		return ExitOK
	case errors.Is(err, ErrUsage):
		return ExitUsage
	case errors.Is(err, toucanchange.ErrConflict), errors.Is(err, toucanchange.ErrBaseTooOld):
		return ExitConflict
	case errors.Is(err, toucanchange.ErrOutcomeUnknown):
		return ExitOutcomeUnknown
	}
	return ExitFailed
}

// Command is a command with flags, or a command group if Commands is set.
type Command struct {
	Name string
	// Short is the one-line description in the help of the parent group.
	Short string
	// Bind registers flags and positional arguments; nil if the command has none.
	Bind func(p *flaggy.Parser)
	// Run executes the command; nil for a group.
	Run func() error
	// Commands are the members of a group; nil for a command.
	Commands []*Command
}

// flaggy exits the process on invalid flags unless PanicInsteadOfExit is set; parse recovers the panic and
// returns an error.
func init() { flaggy.PanicInsteadOfExit = true }

const exitPanicPrefix = "Panic instead of exit with code: "

// ErrHelp is returned by parse after it has printed help. Execute treats it as success.
var ErrHelp = errors.New("help shown")

// Execute finds the subcommand of c that args name, parses its flags and runs it.
func (f *Factory) Execute(c *Command, args []string) error {
	title := c.Name
	for c.Run == nil {
		if len(args) == 0 || args[0] == "-h" || args[0] == "--help" {
			return f.groupHelp(c, title, len(args) > 0)
		}
		next, err := c.child(title, args[0])
		if err != nil {
			return err
		}
		c, args, title = next, args[1:], title+" "+next.Name
	}
	err := parse(c, title, args)
	if errors.Is(err, ErrHelp) {
		return nil
	}
	if err != nil {
		return err
	}
	return c.Run()
}

func (c *Command) child(title, arg string) (*Command, error) {
	names := make([]string, 0, len(c.Commands))
	for _, child := range c.Commands {
		if child.Name == arg {
			return child, nil
		}
		names = append(names, child.Name)
	}
	if nearest := toucandocument.Nearest(arg, names); nearest != "" {
		return nil, errors.Wrapf(ErrUsage, "%s: no command %q; did you mean %q?", title, arg, nearest)
	}
	return nil, errors.Wrapf(ErrUsage, "%s: no command %q; available commands: %s", title, arg, strings.Join(names, ", "))
}

func (f *Factory) groupHelp(c *Command, title string, requested bool) error {
	if !requested {
		names := make([]string, 0, len(c.Commands))
		for _, child := range c.Commands {
			names = append(names, child.Name)
		}
		return errors.Wrapf(ErrUsage, "%s: name a command: %s", title, strings.Join(names, ", "))
	}
	f.IO.Printf("%s: %s\n\n", title, c.Short)
	for _, child := range c.Commands {
		f.IO.Printf("  %-10s  %s\n", child.Name, child.Short)
	}
	return nil
}

// helpTemplate prints one line for invalid usage and the full help for --help.
const helpTemplate = `{{if .Message}}{{.CommandName}}: {{.Message}}
{{else}}{{.CommandName}}: {{.Description}}
{{range .Positionals}}
  {{.Name}}{{if .Required}} (required){{end}}  {{.Description}}{{end}}
{{range .Flags}}
  --{{.LongName}}  {{.Description}}{{if .DefaultValue}} (default {{.DefaultValue}}){{end}}{{end}}
{{end}}`

// parse registers the command's flags and parses args. It returns ErrHelp if args request help.
func parse(c *Command, title string, args []string) (err error) {
	p := flaggy.NewParser(title)
	p.Description = c.Short
	p.ShowCompletion = false
	p.ShowVersionWithVersionFlag = false
	if err := p.SetHelpTemplate(helpTemplate); err != nil {
		return errors.Wrap(err, "help template")
	}
	if c.Bind != nil {
		c.Bind(p)
	}
	defer func() { err = recoveredError(recover(), title, err) }()
	if err := p.ParseArgs(args); err != nil {
		return errors.Wrapf(ErrUsage, "%s: %s", title, err)
	}
	if len(p.TrailingArguments) > 0 {
		return errors.Wrapf(ErrUsage, "%s: unexpected argument %q", title, p.TrailingArguments[0])
	}
	return nil
}

// ErrReported is matched by errors that have already been printed to the user.
var ErrReported = errors.New("already reported")

type reportedError struct{ kind error }

func (e reportedError) Error() string { return e.kind.Error() }

func (e reportedError) Is(target error) bool { return target == ErrReported || target == e.kind }

// Reported wraps err so that it is not printed again; the exit code does not change.
func Reported(err error) error { return reportedError{err} }

func recoveredError(value any, title string, err error) error {
	if value == nil {
		return err
	}
	text, ok := value.(string)
	if !ok || !strings.HasPrefix(text, exitPanicPrefix) {
		return errors.Wrapf(ErrUsage, "%s: %v", title, value)
	}
	if strings.TrimPrefix(text, exitPanicPrefix) == "0" {
		return ErrHelp
	}
	return Reported(ErrUsage)
}
