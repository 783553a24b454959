package toucanhead

import (
	"log/slog"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"toucanport/toucanlog"
)

// logInterval is the time between two log lines of the same reason, as callers that nobody controls would fill the log.
const logInterval = time.Second

// Observer counts and logs what gates refuse and close. It is safe for concurrent use.
type Observer struct {
	scope tally.Scope
	log   *slog.Logger

	mu sync.Mutex
	// logged is when each reason was last logged, and unlogged the number of events since then.
	logged   map[Reason]time.Time
	unlogged map[Reason]int
}

// NewObserver returns an Observer that counts in scope.
func NewObserver(scope tally.Scope, log *slog.Logger) *Observer {
	return &Observer{
		scope: scope, log: log, logged: make(map[Reason]time.Time), unlogged: make(map[Reason]int),
	}
}

// Observe records an event.
func (o *Observer) Observe(e Event) {
	o.scope.Tagged(map[string]string{"reason": string(e.Reason)}).Counter("callers_refused").Inc(1)
	o.mu.Lock()
	now := time.Now()
	o.unlogged[e.Reason]++
	events := o.unlogged[e.Reason]
	due := now.Sub(o.logged[e.Reason]) >= logInterval
	if due {
		o.logged[e.Reason], o.unlogged[e.Reason] = now, 0
	}
	o.mu.Unlock()
	if !due {
		return
	}
	o.log.Warn(toucanlog.MsgCallerRefused,
		toucanlog.Reason, string(e.Reason),
		toucanlog.Events, events,
		toucanlog.Bytes, e.Bytes,
		toucanlog.Lines, e.Lines,
		toucanlog.LimitBytes, e.Limit,
		toucanlog.MemoryBytes, e.Memory.Used,
		toucanlog.AllowedBytes, e.Memory.Limit,
		toucanlog.Open, e.Open,
		toucanlog.Unfinished, e.Unfinished,
	)
}
