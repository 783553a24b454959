package toucanfake

import (
	"sync"
	"time"

	"toucanport/toucanengine"
)

// GenerationRecord describes the work of one engine process on one generation.
type GenerationRecord struct {
	ID     string
	Engine string
	BootID uint64
	// Label is the value of the prompt's label directive; empty without one.
	Label    string
	Received time.Time
	// Ran is true once the generation has entered the batch.
	Ran bool
	// Produced is the number of tokens generated, with the indexes 0 to Produced-1. Tokens computed again after a
	// preemption are not counted again.
	Produced  int
	Finish    string
	Cancelled bool
	// EndedAt is zero while the generation is waiting or running.
	EndedAt time.Time
}

// OrderRecord is an order that an engine applied.
type OrderRecord struct {
	toucanengine.Order
	Engine string
	At     time.Time
}

// Ledger records the generations, applied orders and preemptions of one or more engines. It is safe for concurrent
// use.
type Ledger struct {
	mu sync.Mutex
	// generations has one record for each generation id and engine process.
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

// Generations returns a copy of every generation's record, in no particular order.
func (l *Ledger) Generations() []GenerationRecord {
	l.mu.Lock()
	defer l.mu.Unlock()
	records := make([]GenerationRecord, 0, len(l.generations))
	for _, r := range l.generations {
		records = append(records, *r)
	}
	return records
}

// Orders returns the applied orders, oldest first.
func (l *Ledger) Orders() []OrderRecord {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]OrderRecord(nil), l.orders...)
}

// Preemptions returns the number of preemptions of running generations.
func (l *Ledger) Preemptions() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.preemptions
}

func (l *Ledger) recordReceived(r GenerationRecord) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.generations[ledgerKey{r.ID, r.BootID}] = &r
}

func (l *Ledger) recordProgress(s *sequence, bootID uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.generations[ledgerKey{s.id, bootID}]
	r.Ran = r.Ran || s.ran
	r.Produced = s.produced
	r.Finish = s.finish
	r.Cancelled = s.cancelled
	r.EndedAt = s.endedAt
}

func (l *Ledger) recordOrder(r OrderRecord) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.orders = append(l.orders, r)
}

func (l *Ledger) recordPreemption() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.preemptions++
}
