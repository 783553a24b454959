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
	// earnedLifetime is the time constant with which earned retries lapse: the earnings of as long are at hand when
	// an endpoint fails with requests on it. In any minute that makes 0.1 + 0.1/3 retries a request and the reserve,
	// which is below 0.2 from one request a second on.
	earnedLifetime = 20 * time.Second
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

// account holds the retries that one service may make.
type account struct {
	// earned falls with earnedLifetime.
	earned float64
	// reserve is between 0 and the budget's reserve.
	reserve float64
	updated time.Time
}

// BudgetOption changes a Budget.
type BudgetOption func(*Budget)

// WithFraction sets the retries that each request earns.
func WithFraction(f float64) BudgetOption { return func(b *Budget) { b.fraction = f } }

// WithReserve sets the retries that a service may make without having earned them.
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
	b.account(now, service).earned += b.fraction
}

// Withdraw pays for one retry, from what was earned first. It returns false when the budget is used up.
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

// Balance is what a service may still spend.
type Balance struct {
	Service string
	// Retries is the number of retries, with fractions.
	Retries float64
}

// Balances returns the balance of each service that requests were made to, in the order of their names.
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

func (b *Budget) account(now time.Time, service string) *account {
	a, ok := b.accounts[service]
	if !ok {
		a = &account{reserve: b.reserve, updated: now}
		b.accounts[service] = a
		return a
	}
	if elapsed := now.Sub(a.updated).Seconds(); elapsed > 0 {
		a.earned *= math.Exp(-elapsed / earnedLifetime.Seconds())
		a.reserve = min(b.reserve, a.reserve+b.reserve*elapsed/reserveRefill.Seconds())
		a.updated = now
	}
	return a
}
