package factory

import (
	"strings"

	"github.com/integrii/flaggy"
	"github.com/pkg/errors"

	"toucanport/toucanchange"
	"toucanport/toucandocument"
)

// ErrUsage is matched by errors of wrong use.
var ErrUsage = errors.New("wrong use")

// Exit codes of every command.
const (
	ExitDone           = 0
	ExitFailed         = 1
	ExitUsage          = 2
	ExitConflict       = 3
	ExitOutcomeUnknown = 4
)

// ExitCode returns the exit code for the error that a command ended with.
func ExitCode(err error) int {
	switch {
	case err == nil:
		return ExitDone
	case errors.Is(err, ErrUsage):
		return ExitUsage
	case errors.Is(err, toucanchange.ErrConflict), errors.Is(err, toucanchange.ErrBaseTooOld):
		return ExitConflict
	case errors.Is(err, toucanchange.ErrOutcomeUnknown):
		return ExitOutcomeUnknown
	}
	return ExitFailed
}

// Command is a command with flags, or a group of commands when Commands is set.
type Command struct {
	Name string
	// Short is one line for the help of the group above.
	Short string
	// Bind adds flags and positional values to the parser; nil means none.
	Bind func(p *flaggy.Parser)
	// Run is set on commands and nil on groups.
	Run func() error
	// Commands is set on groups and nil on commands.
	Commands []*Command
}

// flaggy exits the process on wrong flags unless told to panic; parse turns that back into an error.
func init() { flaggy.PanicInsteadOfExit = true }

const exitPanicPrefix = "Panic instead of exit with code: "

// ErrHelp is returned after help was shown; the exit code is that of success.
var ErrHelp = errors.New("help shown")

// Execute finds the command that args name below c, parses its flags and runs it.
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

func (c *Command) child(title, word string) (*Command, error) {
	names := make([]string, 0, len(c.Commands))
	for _, child := range c.Commands {
		if child.Name == word {
			return child, nil
		}
		names = append(names, child.Name)
	}
	if nearest := toucandocument.Nearest(word, names); nearest != "" {
		return nil, errors.Wrapf(ErrUsage, "%s: no command %q; did you mean %q?", title, word, nearest)
	}
	return nil, errors.Wrapf(ErrUsage, "%s: no command %q, only %s", title, word, strings.Join(names, ", "))
}

func (f *Factory) groupHelp(c *Command, title string, asked bool) error {
	if !asked {
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

// helpTemplate prints one line for wrong use and the whole help when it was asked for.
const helpTemplate = `{{if .Message}}{{.CommandName}}: {{.Message}}
{{else}}{{.CommandName}}: {{.Description}}
{{range .Positionals}}
  {{.Name}}{{if .Required}} (required){{end}}  {{.Description}}{{end}}
{{range .Flags}}
  --{{.LongName}}  {{.Description}}{{if .DefaultValue}} (default {{.DefaultValue}}){{end}}{{end}}
{{end}}`

// parse binds the command's flags and parses args.
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
	defer func() { err = recovered(recover(), title, err) }()
	if err := p.ParseArgs(args); err != nil {
		return errors.Wrapf(ErrUsage, "%s: %s", title, err)
	}
	if len(p.TrailingArguments) > 0 {
		return errors.Wrapf(ErrUsage, "%s: unexpected argument %q", title, p.TrailingArguments[0])
	}
	return nil
}

// ErrReported is matched by errors of which the user has already been told.
var ErrReported = errors.New("already reported")

type reportedError struct{ kind error }

func (e reportedError) Error() string { return e.kind.Error() }

func (e reportedError) Is(target error) bool { return target == ErrReported || target == e.kind }

// Reported marks err as already told to the user; its exit code stays.
func Reported(err error) error { return reportedError{err} }

func recovered(value any, title string, err error) error {
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
