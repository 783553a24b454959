// Package toucandocument reads TOML documents strictly: an unknown key is an error, and all problems of a document
// are reported together.
package toucandocument

import (
	"errors"
	"fmt"
	"strings"
)

// ErrInvalid matches every error that the document's author can correct.
var ErrInvalid = errors.New("invalid document")

// Problem is one error in a document.
type Problem struct {
	// File is the name of the document in messages to its author, with a line number after a syntax error.
	File string
	// Path is the dotted path of the key.
	Path string
	// Value is the value found at Path, empty when there is none.
	Value string
	// Allowed describes the allowed values.
	Allowed string
}

// String returns file, path, value and allowed values on one line.
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

// Problems is an error that lists the problems of one or more documents, in the order in which they were found.
type Problems []Problem

// Error returns the problems, one per line.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "\n")
}

// Is makes Problems match ErrInvalid.
func (p Problems) Is(target error) bool { return target == ErrInvalid }

// Err returns p as an error, or nil when p is empty.
func (p Problems) Err() error {
	if len(p) == 0 {
		return nil
	}
	return p
}
