// Package toucandocument reads TOML documents strictly: every key must be known, and all that is wrong is
// reported at once.
package toucandocument

import (
	"errors"
	"fmt"
	"strings"
)

// ErrInvalid is matched by every error of this package that the document's author can mend.
var ErrInvalid = errors.New("invalid document")

// Problem is one thing wrong in a document.
type Problem struct {
	// File is the document's name as its author knows it.
	File string
	// Path is the dotted path of the key.
	Path string
	// Value is what stands there, empty when nothing does.
	Value string
	// Allowed says what may stand there.
	Allowed string
}

// String gives file, path, value and what is allowed on one line.
func (p Problem) String() string {
	var b strings.Builder
	b.WriteString(p.File)
	b.WriteString(": ")
	if p.Path != "" {
		b.WriteString(p.Path + ": ")
	}
	if p.Value != "" {
		fmt.Fprintf(&b, "%s is not allowed; ", p.Value)
	}
	b.WriteString("allowed: " + p.Allowed)
	return b.String()
}

// Problems is an error that lists everything wrong in one or more documents, in document order.
type Problems []Problem

// Error lists the problems, one a line.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "\n")
}

// Is makes Problems match ErrInvalid.
func (p Problems) Is(target error) bool { return target == ErrInvalid }

// Err returns p as an error, or nil when there is nothing in it.
func (p Problems) Err() error {
	if len(p) == 0 {
		return nil
	}
	return p
}
