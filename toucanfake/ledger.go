package toucanfake

import (
	"sync"
	"time"

	"toucanport/toucanengine"
)

// GenerationRecord is what one engine did for one generation id.
type GenerationRecord struct {
	ID     string
	Engine string
	BootID uint64
	// Label is the label directive of the prompt.
	Label    string
	Received time.Time
	// Ran is true once the engine spent a step on it.
	Ran bool
	// Produced is the number of distinct tokens made, which have the indexes 0 to Produced-1.
	Produced  int
	Finish    string
	Cancelled bool
	// EndedAt is zero while the generation holds a place in the engine.
	EndedAt time.Time
}

// OrderRecord is one order that an engine applied.
type OrderRecord struct {
	toucanengine.Order
	Engine string
	At     time.Time
}

// Ledger records what engines did. Engines of one test may share a ledger.
type Ledger struct {
	mu sync.Mutex
	// generations has one record for each id, engine and boot.
	generations map[ledgerKey]*GenerationRecord
	orders      []OrderRecord
	preemptions int
}

type ledgerKey struct {
	id     string
	bootID uint64
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{generations: make(map[ledgerKey]*GenerationRecord)}
}

// Generations returns a copy of every record.
func (l *Ledger) Generations() []GenerationRecord {
	l.mu.Lock()
	defer l.mu.Unlock()
	records := make([]GenerationRecord, 0, len(l.generations))
	for _, r := range l.generations {
		records = append(records, *r)
	}
	return records
}

// Orders returns every applied order, oldest first.
func (l *Ledger) Orders() []OrderRecord {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]OrderRecord(nil), l.orders...)
}

// Preemptions returns how often a running generation lost its memory.
func (l *Ledger) Preemptions() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.preemptions
}

func (l *Ledger) received(r GenerationRecord) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.generations[ledgerKey{r.ID, r.BootID}] = &r
}

func (l *Ledger) update(s *sequence, bootID uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.generations[ledgerKey{s.id, bootID}]
	r.Ran = r.Ran || s.ran
	r.Produced = s.produced
	r.Finish = s.finish
	r.Cancelled = s.cancelled
	r.EndedAt = s.endedAt
}

func (l *Ledger) applied(r OrderRecord) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.orders = append(l.orders, r)
}

func (l *Ledger) preempted() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.preemptions++
}
