package toucanrig

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"toucanport/toucancaller"
)

const (
	// orderDuration is the delay before an application instance carries out an order, and the delay from then to its
	// answer.
	orderDuration = 40 * time.Millisecond
)

// OrderLedger records the orders that application instances carried out. It is safe for concurrent use.
type OrderLedger struct {
	mu sync.Mutex
	// orders holds the executions of each order, by its label.
	orders map[string][]Execution
}

// Execution is one execution of an order.
type Execution struct {
	Endpoint string
	// Received is when the instance received the order.
	Received time.Time
}

func newOrderLedger() *OrderLedger {
	return &OrderLedger{orders: make(map[string][]Execution)}
}

func (l *OrderLedger) add(label string, e Execution) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.orders[label] = append(l.orders[label], e)
}

// Executions returns all executions of the order with this label.
func (l *OrderLedger) Executions(label string) []Execution {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Execution(nil), l.orders[label]...)
}

// orderService is an application instance that carries out orders.
type orderService struct {
	name   string
	ledger *OrderLedger
	ctx    context.Context
	kill   context.CancelFunc
}

func newOrderService(name string, ledger *OrderLedger) *orderService {
	ctx, kill := context.WithCancel(context.Background())
	return &orderService{name: name, ledger: ledger, ctx: ctx, kill: kill}
}

// run serves orders until ctx ends or the instance is killed.
func (s *orderService) run(ctx context.Context, ln net.Listener) error {
	stop := context.AfterFunc(ctx, s.kill)
	defer stop()
	srv := &http.Server{Handler: s, ReadHeaderTimeout: 10 * time.Second}
	closeServer := context.AfterFunc(s.ctx, func() { _ = srv.Close() })
	defer closeServer()
	if err := srv.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// ServeHTTP carries out an order, even if the connection breaks, unless the instance is killed before.
func (s *orderService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	received := time.Now()
	time.Sleep(orderDuration)
	if s.ctx.Err() != nil {
		return
	}
	label := r.Header.Get(toucancaller.LabelHeader)
	s.ledger.add(label, Execution{Endpoint: s.name, Received: received})
	time.Sleep(orderDuration)
	_, _ = fmt.Fprintf(w, "carried out %s\n", label) // no one reads the answer if the connection is broken
}
