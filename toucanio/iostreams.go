// Package toucanio holds the standard streams as a value, so that commands can be tested without a terminal.
package toucanio

import (
	"bytes"
	"fmt"
	"io"
	"os"

	"golang.org/x/term"
)

// Streams are the input and outputs of a command.
type Streams struct {
	In  io.Reader
	Out io.Writer
	Err io.Writer
	// terminal is true when Out is a terminal that shows colours.
	terminal bool
}

// System returns the process's own streams.
func System() *Streams {
	return &Streams{
		In:       os.Stdin,
		Out:      os.Stdout,
		Err:      os.Stderr,
		terminal: term.IsTerminal(int(os.Stdout.Fd())) && os.Getenv("NO_COLOR") == "",
	}
}

// Test returns streams over buffers, as if piped.
func Test() (s *Streams, out, errOut *bytes.Buffer) {
	out, errOut = &bytes.Buffer{}, &bytes.Buffer{}
	return &Streams{In: &bytes.Buffer{}, Out: out, Err: errOut}, out, errOut
}

// IsTerminal reports whether output goes to a person at a terminal.
func (s *Streams) IsTerminal() bool { return s.terminal }

// Bold returns text in bold at a terminal and unchanged elsewhere.
func (s *Streams) Bold(text string) string { return s.style("1", text) }

// Green returns text in green at a terminal and unchanged elsewhere.
func (s *Streams) Green(text string) string { return s.style("32", text) }

// Red returns text in red at a terminal and unchanged elsewhere.
func (s *Streams) Red(text string) string { return s.style("31", text) }

func (s *Streams) style(code, text string) string {
	if !s.terminal {
		return text
	}
	return "\x1b[" + code + "m" + text + "\x1b[0m"
}

// Printf writes to Out. A failed write means that nobody reads, so it is not reported.
func (s *Streams) Printf(format string, args ...any) { _, _ = fmt.Fprintf(s.Out, format, args...) }

// Errorf writes to Err.
func (s *Streams) Errorf(format string, args ...any) { _, _ = fmt.Fprintf(s.Err, format, args...) }
