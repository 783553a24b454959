// Package toucanlimit enforces the limits of workspaces on concurrent requests and on tokens per minute. Entries
// share the limits without a coordinator: each enforces its own share. The package does no I/O and reads no clock.
package toucanlimit

import (
	"fmt"
	"time"

	"github.com/pkg/errors"
)

// ErrLimited means that a workspace has reached one of its limits.
var ErrLimited = errors.New("workspace limit reached")

// Kind identifies a limit.
type Kind string

// Kinds of limits.
const (
	ConcurrentRequests Kind = "concurrentRequests"
	TokensPerMinute    Kind = "tokensPerMinute"
)

// Error wraps ErrLimited and adds the limit that was reached and the time after which to retry.
type Error struct {
	Workspace string
	Kind      Kind
	// RetryAfter is always positive.
	RetryAfter time.Duration
}

func (e *Error) Error() string {
	return fmt.Sprintf("workspace %q: limit of %s reached, retry after %s", e.Workspace, e.Kind, e.RetryAfter)
}

// Unwrap returns ErrLimited.
func (e *Error) Unwrap() error { return ErrLimited }

// Workspace holds the limits of a workspace across all entries; zero means unlimited.
type Workspace struct {
	// Name is unique across all teams. If several teams use the same name, it must include the team.
	Name               string
	ConcurrentRequests int
	TokensPerMinute    int
}

// Release ends a request and settles its tokens: tokensUsed replaces the estimate passed to Acquire. It must be
// called once for each admitted request; further calls have no effect.
type Release func(now time.Time, tokensUsed int)

// Limiter enforces the limits of workspaces. Implementations are safe for concurrent use.
type Limiter interface {
	// Acquire admits a request that is expected to use the given number of tokens. If a limit is reached, it returns
	// an *Error.
	Acquire(now time.Time, w Workspace, tokens int) (Release, error)
	// SetEntries sets the number of entries that share the limits, including this one.
	SetEntries(now time.Time, n int)
}

// NewUnlimited returns a limiter that admits every request.
func NewUnlimited() Limiter { return unlimited{} }

type unlimited struct{}

func (unlimited) Acquire(time.Time, Workspace, int) (Release, error) {
	return func(time.Time, int) {}, nil
}

func (unlimited) SetEntries(time.Time, int) {}
