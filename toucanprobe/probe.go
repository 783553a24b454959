// Package toucanprobe asks endpoints themselves whether they leave, while the store tells no entry. Each endpoint is
// asked by one entry, which tells the others.
package toucanprobe

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"toucanport/toucanlog"
	"toucanport/toucanmember"
	"toucanport/toucanplace"
)

const (
	// interval is the time between two questions to one endpoint.
	interval = 350 * time.Millisecond
	// checkInterval is the time between two looks whether endpoints have to be asked.
	checkInterval = 70 * time.Millisecond
	// timeout bounds one question.
	timeout = 300 * time.Millisecond
	// probers is how many entries ask one endpoint.
	probers = 1
	// maxUnanswered is how many questions in a row an endpoint may leave unanswered.
	maxUnanswered = 2
)

// Prober asks an endpoint.
type Prober interface {
	// Leaving reports whether the endpoint at an address leaves.
	Leaving(ctx context.Context, address string) (bool, error)
}

// Board is where entries tell one another of leaving endpoints.
type Board interface {
	// StoreSilent reports whether the store has told none of the entries anything for longer than it should take.
	StoreSilent(now time.Time) bool
	// Heard returns the names of the other entries that are heard.
	Heard(now time.Time) []string
	// TakeLeaving takes in that an endpoint leaves.
	TakeLeaving(now time.Time, endpoint uint64)
}

// Duty asks this entry's share of the endpoints.
type Duty struct {
	name   string
	prober Prober
	book   *toucanplace.Book
	board  Board
	log    *slog.Logger
	// asking is true while endpoints are being asked.
	asking bool

	mu sync.Mutex
	// unanswered counts the questions in a row that an endpoint, by its id, did not answer.
	unanswered map[string]int
}

// New returns the duty of the entry name.
func New(name string, prober Prober, book *toucanplace.Book, board Board, log *slog.Logger) *Duty {
	return &Duty{
		name:       name,
		prober:     prober,
		book:       book,
		board:      board,
		log:        log,
		unanswered: make(map[string]int),
	}
}

// Run asks until ctx ends.
func (d *Duty) Run(ctx context.Context) {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	var asked time.Time
	for {
		select {
		case <-ticker.C:
			if now := time.Now(); d.due(now) && now.Sub(asked) >= interval {
				asked = now
				d.round(ctx, now)
			}
		case <-ctx.Done():
			return
		}
	}
}

// due reports whether endpoints have to be asked.
func (d *Duty) due(now time.Time) bool {
	silent := d.board.StoreSilent(now)
	if silent != d.asking {
		d.asking = silent
		d.log.Info(toucanlog.MsgAskingEndpoints,
			toucanlog.Asking, silent,
			toucanlog.PeersHeard, len(d.board.Heard(now)),
		)
	}
	return silent
}

// round asks each endpoint of this entry's share once, all at the same time.
func (d *Duty) round(ctx context.Context, now time.Time) {
	entries := append(d.board.Heard(now), d.name)
	var wg sync.WaitGroup
	for _, e := range d.book.Endpoints() {
		if e.MemoryTokens > 0 && toucanmember.Chosen(d.name, e.ID, entries, probers) {
			wg.Go(func() { d.ask(ctx, e) })
		}
	}
	wg.Wait()
}

func (d *Duty) ask(ctx context.Context, e toucanplace.Endpoint) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	leaving, err := d.prober.Leaving(ctx, e.Address)
	if err != nil {
		d.silent(e, err)
		return
	}
	d.mu.Lock()
	delete(d.unanswered, e.ID)
	d.mu.Unlock()
	if leaving {
		d.log.Info(toucanlog.MsgEndpointLeaves,
			toucanlog.Endpoint, e.ID,
			toucanlog.Address, e.Address,
		)
		d.board.TakeLeaving(time.Now(), e.Key())
	}
}

// silent takes in that an endpoint did not answer. One that stays silent is treated like one that leaves.
func (d *Duty) silent(e toucanplace.Endpoint, err error) {
	d.book.Suspect(time.Now(), e.ID)
	d.mu.Lock()
	d.unanswered[e.ID]++
	n := d.unanswered[e.ID]
	if n == maxUnanswered {
		delete(d.unanswered, e.ID)
	}
	d.mu.Unlock()
	if n == maxUnanswered {
		d.log.Warn(toucanlog.MsgEndpointSilent,
			toucanlog.Endpoint, e.ID,
			toucanlog.Address, e.Address,
			toucanlog.Questions, n,
			toucanlog.Cause, err.Error(),
		)
		d.board.TakeLeaving(time.Now(), e.Key())
	}
}
