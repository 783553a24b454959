// Package toucanlimit keeps workspaces within their limits of concurrent requests and tokens a minute. Entries
// share the limits without a coordinator: each enforces its own part. It does no I/O and reads no clock.
package toucanlimit

import (
	"fmt"
	"time"

	"github.com/pkg/errors"
)

// ErrLimited says that a workspace has reached one of its limits.
var ErrLimited = errors.New("workspace limit reached")

// Kind names a limit.
type Kind string

// The limits.
const (
	ConcurrentRequests Kind = "concurrentRequests"
	TokensPerMinute    Kind = "tokensPerMinute"
)

// Error is ErrLimited with what the caller needs to come back in time.
type Error struct {
	Workspace string
	Kind      Kind
	// RetryAfter is above zero.
	RetryAfter time.Duration
}

func (e *Error) Error() string {
	return fmt.Sprintf("workspace %q: limit of %s reached, retry after %s", e.Workspace, e.Kind, e.RetryAfter)
}

// Unwrap returns ErrLimited.
func (e *Error) Unwrap() error { return ErrLimited }

// Workspace holds the limits of one workspace over all entries; zero means unbounded.
type Workspace struct {
	// Name is unique among all workspaces, so it holds the team where teams may use equal names.
	Name               string
	ConcurrentRequests int
	TokensPerMinute    int
}

// Release ends a request and settles its tokens: tokensUsed replaces the estimate given to Acquire. It must be
// called once; further calls change nothing.
type Release func(now time.Time, tokensUsed int)

// Limiter admits requests of workspaces. Implementations are safe for concurrent use.
type Limiter interface {
	// Acquire admits a request that is expected to use the given tokens. The error is an *Error.
	Acquire(now time.Time, w Workspace, tokens int) (Release, error)
	// SetEntries says how many entries share the limits, this one included.
	SetEntries(now time.Time, n int)
}

// NewUnlimited returns a limiter that admits everything.
func NewUnlimited() Limiter { return unlimited{} }

type unlimited struct{}

func (unlimited) Acquire(time.Time, Workspace, int) (Release, error) {
	return func(time.Time, int) {}, nil
}

func (unlimited) SetEntries(time.Time, int) {}
