// Package toucanio provides the standard streams of a command as a value, so that tests can replace them.
package toucanio

import (
	"bytes"
	"fmt"
	"io"
	"os"

	"golang.org/x/term"
)

// Streams holds the standard input, output and error of a command.
type Streams struct {
	In  io.Reader
	Out io.Writer
	Err io.Writer
	// terminal is true if Out is a terminal and colours are not disabled by NO_COLOR.
	terminal bool
}

// System returns the standard streams of the process.
func System() *Streams {
	return &Streams{
		In:       os.Stdin,
		Out:      os.Stdout,
		Err:      os.Stderr,
		terminal: term.IsTerminal(int(os.Stdout.Fd())) && os.Getenv("NO_COLOR") == "",
	}
}

// Test returns streams backed by buffers, which behave like pipes, and the buffers of Out and Err.
func Test() (s *Streams, out, errOut *bytes.Buffer) {
	out, errOut = &bytes.Buffer{}, &bytes.Buffer{}
	return &Streams{In: &bytes.Buffer{}, Out: out, Err: errOut}, out, errOut
}

// IsTerminal reports whether Out is a terminal with colours. It is false if NO_COLOR is set.
func (s *Streams) IsTerminal() bool { return s.terminal }

// Bold returns text in bold if IsTerminal, and unchanged otherwise.
func (s *Streams) Bold(text string) string { return s.style("1", text) }

// Green returns text in green if IsTerminal, and unchanged otherwise.
func (s *Streams) Green(text string) string { return s.style("32", text) }

// Red returns text in red if IsTerminal, and unchanged otherwise.
func (s *Streams) Red(text string) string { return s.style("31", text) }

func (s *Streams) style(code, text string) string {
	if !s.terminal {
		return text
	}
	return "\x1b[" + code + "m" + text + "\x1b[0m"
}

// Printf writes to Out. It ignores write errors, since they mean that the reader has closed the output.
func (s *Streams) Printf(format string, args ...any) { _, _ = fmt.Fprintf(s.Out, format, args...) }

// Errorf writes to Err and ignores write errors.
func (s *Streams) Errorf(format string, args ...any) { _, _ = fmt.Fprintf(s.Err, format, args...) }
