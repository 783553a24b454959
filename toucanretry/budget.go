package toucanretry

import (
	"math"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	defaultFraction = 0.1
	defaultReserve  = 3
	// defaultDecay is the time constant of the exponential decay of earned retries. At a steady rate, the retries earned in
	// this time are available when an endpoint fails with requests on it. In any minute, retries are then at most
	// 0.1 + 0.1/3 per request plus the reserve, which is below 0.2 per request from one request per second on.
	defaultDecay = 20 * time.Second
	// reserveRefill is the time in which an empty reserve fills up. The reserve lets services with few requests retry.
	reserveRefill = 5 * time.Minute
)

// Budget limits the retries of each service to a fraction of its requests plus a small reserve. It is safe for
// concurrent use.
type Budget struct {
	fraction float64
	decay    time.Duration

	mu sync.Mutex
	// reserve bounds the reserve of each account.
	reserve float64
	// accounts has an entry for each service that has received a request, by name.
	accounts map[string]*account
}

// account holds the retries that are available to one service.
type account struct {
	// earned is the number of retries earned by requests, which decays.
	earned float64
	// reserve is between 0 and the budget's reserve.
	reserve float64
	updated time.Time
}

// BudgetOption configures a Budget.
type BudgetOption func(*Budget)

// WithFraction sets the number of retries, usually below 1, that each request earns.
func WithFraction(f float64) BudgetOption { return func(b *Budget) { b.fraction = f } }

// WithDecay sets the time constant of the exponential decay of earned retries. The retries in any window of that length are then at most
// twice those that its requests earn at a steady rate, plus the reserve.
func WithDecay(d time.Duration) BudgetOption { return func(b *Budget) { b.decay = d } }

// WithReserve sets the number of retries that a service can make without having earned them.
func WithReserve(n int) BudgetOption { return func(b *Budget) { b.reserve = float64(n) } }

// NewBudget returns a budget in which each service starts with a full reserve.
func NewBudget(opts ...BudgetOption) *Budget {
	b := &Budget{fraction: defaultFraction, decay: defaultDecay, reserve: defaultReserve, accounts: make(map[string]*account)}
	for _, opt := range opts {
		opt(b)
	}
	return b
}

// SetReserve sets the number of retries, including fractions, that each service can make without having earned them.
func (b *Budget) SetReserve(now time.Time, n float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if n == b.reserve {
		return
	}
	for service := range b.accounts {
		a := b.account(now, service)
		a.reserve = min(a.reserve, n)
	}
	b.reserve = n
}

// Request records a new request to the service, which earns it a fraction of a retry.
func (b *Budget) Request(now time.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.account(now, service).earned += b.fraction
}

// Withdraw takes one retry from the service's budget, from the earned retries before the reserve. It returns false if
// less than one retry is available.
func (b *Budget) Withdraw(now time.Time, service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.account(now, service)
	switch {
	case a.earned >= 1:
		a.earned--
	case a.earned+a.reserve >= 1:
		a.reserve -= 1 - a.earned
		a.earned = 0
	default:
		return false
	}
	return true
}

// Balance is the remaining retry budget of a service.
type Balance struct {
	Service string
	// Retries is the number of retries that are available, including fractions.
	Retries float64
}

// Balances returns the balance of each service that has received a request, sorted by name.
func (b *Budget) Balances(now time.Time) []Balance {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := make([]Balance, 0, len(b.accounts))
	for service := range b.accounts {
		a := b.account(now, service)
		list = append(list, Balance{Service: service, Retries: a.earned + a.reserve})
	}
	slices.SortFunc(list, func(x, y Balance) int { return strings.Compare(x.Service, y.Service) })
	return list
}

// account returns the service's account, with decay and refill applied up to now, and creates it if necessary. The
// caller holds b.mu.
func (b *Budget) account(now time.Time, service string) *account {
	a, ok := b.accounts[service]
	if !ok {
		a = &account{reserve: b.reserve, updated: now}
		b.accounts[service] = a
		return a
	}
	if elapsed := now.Sub(a.updated).Seconds(); elapsed > 0 {
		a.earned *= math.Exp(-elapsed / b.decay.Seconds())
		a.reserve = min(b.reserve, a.reserve+b.reserve*elapsed/reserveRefill.Seconds())
		a.updated = now
	}
	return a
}
