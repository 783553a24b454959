package toucandocument

import (
	"errors"
	"fmt"
	"maps"
	"net/netip"
	"regexp"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/BurntSushi/toml"
)

// NamePattern matches valid names of instances, failure domains, teams, services, workspaces and endpoints.
var NamePattern = regexp.MustCompile(`^[a-z0-9][a-zA-Z0-9-]{0,62}$`)

// NameAllowed describes NamePattern in messages.
const NameAllowed = "1 to 63 letters, digits and hyphens, starting with a lower-case letter or a digit"

// Table reads one TOML table. Each getter marks its key as known and records a problem when the value is not
// allowed. ReportUnknownKeys records a problem for each key that no getter has read.
type Table struct {
	file     string
	path     string
	values   map[string]any
	known    []string
	problems *Problems
}

// Parse decodes data as TOML. After a syntax error the result has no other problem. The returned Problems
// collects those that the getters of the table and of its subtables record.
func Parse(file string, data []byte) (*Table, *Problems) {
	problems := &Problems{}
	t := &Table{file: file, values: map[string]any{}, problems: problems}
	_, err := toml.Decode(string(data), &t.values)
	if err != nil {
		t.syntaxError(err)
	}
	return t, problems
}

func (t *Table) syntaxError(err error) {
	p := Problem{File: t.file, Value: err.Error(), Allowed: "TOML"}
	var parse toml.ParseError
	if errors.As(err, &parse) {
		p.File = fmt.Sprintf("%s:%d", t.file, parse.Position.Line)
		p.Value = parse.Message
	}
	*t.problems = append(*t.problems, p)
}

// AddProblem records a problem at key.
func (t *Table) AddProblem(key string, value any, allowed string) {
	*t.problems = append(*t.problems, Problem{File: t.file, Path: t.keyPath(key), Value: formatValue(value), Allowed: allowed})
}

func formatValue(value any) string {
	switch v := value.(type) {
	case nil:
		return ""
	case string:
		return fmt.Sprintf("%q", v)
	case map[string]any:
		return "a table"
	default:
		return fmt.Sprint(v)
	}
}

func (t *Table) keyPath(key string) string {
	if t.path == "" {
		return key
	}
	if key == "" {
		return t.path
	}
	return t.path + "." + key
}

func (t *Table) lookup(key string) (any, bool) {
	t.known = append(t.known, key)
	v, ok := t.values[key]
	return v, ok
}

// Has reports whether key is present.
func (t *Table) Has(key string) bool {
	_, ok := t.values[key]
	return ok
}

// Keys returns the keys of t, sorted.
func (t *Table) Keys() []string {
	return slices.Sorted(maps.Keys(t.values))
}

// ReportUnknownKeys records a problem for each key that no getter has read, with the nearest known key as a suggestion.
// It is called after all getters.
func (t *Table) ReportUnknownKeys() {
	var unknown []string
	for key := range t.values {
		if !slices.Contains(t.known, key) {
			unknown = append(unknown, key)
		}
	}
	sort.Strings(unknown)
	for _, key := range unknown {
		t.AddProblem(key, nil, t.suggest(key))
	}
}

func (t *Table) suggest(key string) string {
	if nearest := Nearest(key, t.known); nearest != "" {
		return fmt.Sprintf("no key %q here; did you mean %q?", key, nearest)
	}
	known := slices.Clone(t.known)
	sort.Strings(known)
	return fmt.Sprintf("no key %q here, only %s", key, strings.Join(known, ", "))
}

// String returns the string at key, or "" when the key is missing or not a string. A value of another type is a
// problem; a missing key or an empty string is one when required.
func (t *Table) String(key string, required bool) string {
	v, ok := t.lookup(key)
	if !ok {
		t.reportMissing(key, required, "a string")
		return ""
	}
	s, ok := v.(string)
	if !ok || (required && s == "") {
		t.AddProblem(key, v, "a string that is not empty")
	}
	return s
}

func (t *Table) reportMissing(key string, required bool, allowed string) {
	if required {
		t.AddProblem(key, nil, allowed+"; it is required")
	}
}

// OneOf returns the string at key, which must be one of allowed, or fallback when the key is missing. An empty
// fallback makes the key required.
func (t *Table) OneOf(key, fallback string, allowed ...string) string {
	v, ok := t.lookup(key)
	want := "one of " + strings.Join(allowed, ", ")
	if !ok {
		t.reportMissing(key, fallback == "", want)
		return fallback
	}
	s, _ := v.(string)
	if !slices.Contains(allowed, s) {
		t.AddProblem(key, v, want)
	}
	return s
}

// Bool returns the boolean at key, or false when it is missing.
func (t *Table) Bool(key string) bool {
	v, ok := t.lookup(key)
	if !ok {
		return false
	}
	b, ok := v.(bool)
	if !ok {
		t.AddProblem(key, v, "true or false")
	}
	return b
}

// Int returns the integer at key, which must be in [low, high], or fallback when it is missing or not allowed.
func (t *Table) Int(key string, fallback, low, high int) int {
	v, ok := t.lookup(key)
	if !ok {
		return fallback
	}
	n, ok := v.(int64)
	if !ok || n < int64(low) || n > int64(high) {
		t.AddProblem(key, v, fmt.Sprintf("an integer from %d to %d", low, high))
		return fallback
	}
	return int(n)
}

// Float returns the number at key, which must be in [low, high], or fallback when it is missing or not allowed.
func (t *Table) Float(key string, fallback, low, high float64) float64 {
	v, ok := t.lookup(key)
	if !ok {
		return fallback
	}
	f, ok := v.(float64)
	if n, isInt := v.(int64); isInt {
		f, ok = float64(n), true
	}
	if !ok || !(f >= low && f <= high) {
		t.AddProblem(key, v, fmt.Sprintf("a number from %g to %g", low, high))
		return fallback
	}
	return f
}

// Duration returns the duration at key, which must be in [low, high], or fallback when it is missing or not
// allowed.
func (t *Table) Duration(key string, fallback, low, high time.Duration) time.Duration {
	v, ok := t.lookup(key)
	if !ok {
		return fallback
	}
	s, _ := v.(string)
	d, err := time.ParseDuration(s)
	if err != nil || d < low || d > high {
		t.AddProblem(key, v, fmt.Sprintf("a duration from %s to %s such as \"250ms\" or \"1.5s\"", low, high))
		return fallback
	}
	return d
}

// Size returns the size in bytes at key, which must be in [low, high], or fallback when it is missing or not
// allowed.
func (t *Table) Size(key string, fallback, low, high int64) int64 {
	v, ok := t.lookup(key)
	if !ok {
		return fallback
	}
	s, _ := v.(string)
	n, err := ParseSize(s)
	if err != nil || n < low || n > high {
		t.AddProblem(key, v, fmt.Sprintf("a size from %s to %s such as \"64KiB\" or \"8MiB\"", FormatSize(low), FormatSize(high)))
		return fallback
	}
	return n
}

// Address returns the IP address and port at key, or the zero value when it is missing or invalid. A missing key
// is a problem when required.
func (t *Table) Address(key string, required bool) netip.AddrPort {
	const allowed = "an IP address with a port such as \"10.0.0.7:8080\"; host names are not resolved"
	v, ok := t.lookup(key)
	if !ok {
		t.reportMissing(key, required, allowed)
		return netip.AddrPort{}
	}
	s, _ := v.(string)
	a, err := netip.ParseAddrPort(s)
	if err != nil {
		t.AddProblem(key, v, allowed)
	}
	return a
}

// Strings returns the array of strings at key, or nil when it is missing.
func (t *Table) Strings(key string) []string {
	v, ok := t.lookup(key)
	if !ok {
		return nil
	}
	items, ok := v.([]any)
	out := make([]string, 0, len(items))
	for _, item := range items {
		s, isString := item.(string)
		ok = ok && isString
		out = append(out, s)
	}
	if !ok {
		t.AddProblem(key, v, "an array of strings")
	}
	return out
}

// Name returns the name at key, which is required and must match NamePattern.
func (t *Table) Name(key string) string {
	v, ok := t.lookup(key)
	if !ok {
		t.reportMissing(key, true, NameAllowed)
		return ""
	}
	s, isString := v.(string)
	if !isString || !NamePattern.MatchString(s) {
		t.AddProblem(key, v, NameAllowed)
	}
	return s
}

// Table returns the table at key, or nil when it is missing or not a table. A missing table is not a problem.
func (t *Table) Table(key string) *Table {
	v, ok := t.lookup(key)
	if !ok {
		return nil
	}
	values, ok := v.(map[string]any)
	if !ok {
		t.AddProblem(key, v, "a table")
		return nil
	}
	return t.child(key, values)
}

func (t *Table) child(key string, values map[string]any) *Table {
	return &Table{file: t.file, path: t.keyPath(key), values: values, problems: t.problems}
}

// Named is one table of a group, with its name, which is its key in the group.
type Named struct {
	Name  string
	Table *Table
}

// Group returns the tables under key, such as [services.NAME], sorted by name.
func (t *Table) Group(key string) []Named {
	group := t.Table(key)
	if group == nil {
		return nil
	}
	names := make([]string, 0, len(group.values))
	for name := range group.values {
		names = append(names, name)
	}
	sort.Strings(names)
	out := make([]Named, 0, len(names))
	for _, name := range names {
		if !NamePattern.MatchString(name) {
			group.AddProblem(name, name, NameAllowed)
		}
		if child := group.Table(name); child != nil {
			out = append(out, Named{Name: name, Table: child})
		}
	}
	return out
}

// List returns the tables of an array of tables such as [[changes]], in the order of the document.
func (t *Table) List(key string) []*Table {
	v, ok := t.lookup(key)
	if !ok {
		return nil
	}
	items, ok := v.([]map[string]any)
	if !ok {
		t.AddProblem(key, v, "an array of tables")
		return nil
	}
	out := make([]*Table, len(items))
	for i, item := range items {
		out[i] = t.child(fmt.Sprintf("%s[%d]", key, i), item)
	}
	return out
}

// New returns a table over values that were decoded already. Problems name file.
func New(file string, values map[string]any) (*Table, *Problems) {
	problems := &Problems{}
	return &Table{file: file, values: values, problems: problems}, problems
}

// Time returns the time at key, which is required. It returns the zero time when the value is missing or not a
// time.
func (t *Table) Time(key string) time.Time {
	v, _ := t.lookup(key)
	at, ok := v.(time.Time)
	if !ok {
		t.AddProblem(key, v, "a date with time")
	}
	return at
}
