package toucanretry

import (
	"sync"
	"time"
)

const (
	defaultFraction = 0.1
	// defaultReserve and reserveRefill keep a service of one request a second below 1.2 attempts a request in any
	// minute: 0.1 earned, 4 of 60 from the reserve, and less than 1 of 60 refilled.
	defaultReserve = 4
	// reserveRefill is the time in which an unused reserve fills up, so that rare requests may retry too.
	reserveRefill = 5 * time.Minute
)

// Budget bounds the retries of each service to a fraction of its requests and a small reserve. It is safe for
// concurrent use.
type Budget struct {
	fraction float64
	reserve  float64

	mu sync.Mutex
	// accounts has an entry for each service that requests were made to.
	accounts map[string]*account
}

// account is the token bucket of one service; one token pays for one retry.
type account struct {
	// tokens is between 0 and the budget's reserve.
	tokens float64
	filled time.Time
}

// BudgetOption changes a Budget.
type BudgetOption func(*Budget)

// WithFraction sets the retries that each request earns.
func WithFraction(f float64) BudgetOption { return func(b *Budget) { b.fraction = f } }

// WithReserve sets the most retries that can be saved up.
func WithReserve(n int) BudgetOption { return func(b *Budget) { b.reserve = float64(n) } }

// NewBudget returns a budget whose accounts begin with a full reserve.
func NewBudget(opts ...BudgetOption) *Budget {
	b := &Budget{fraction: defaultFraction, reserve: defaultReserve, accounts: make(map[string]*account)}
	for _, opt := range opts {
		opt(b)
	}
	return b
}

// Request earns a fraction of a retry.
func (b *Budget) Request(now time.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.account(now, service)
	a.tokens = min(b.reserve, a.tokens+b.fraction)
}

// Withdraw pays for one retry. It returns false when the budget is used up.
func (b *Budget) Withdraw(now time.Time, service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.account(now, service)
	if a.tokens < 1 {
		return false
	}
	a.tokens--
	return true
}

func (b *Budget) account(now time.Time, service string) *account {
	a, ok := b.accounts[service]
	if !ok {
		a = &account{tokens: b.reserve, filled: now}
		b.accounts[service] = a
		return a
	}
	if elapsed := now.Sub(a.filled); elapsed > 0 {
		a.tokens = min(b.reserve, a.tokens+b.reserve*elapsed.Seconds()/reserveRefill.Seconds())
		a.filled = now
	}
	return a
}
