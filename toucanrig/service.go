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
	// orderDuration is how long an application instance works on an order before it is carried out.
	orderDuration = 40 * time.Millisecond
)

// ServiceLedger records the orders that application instances carried out.
type ServiceLedger struct {
	mu sync.Mutex
	// orders holds when each order was carried out, by label.
	orders map[string][]CarriedOut
}

// CarriedOut is one execution of an order.
type CarriedOut struct {
	Endpoint string
	// Received is when the instance got the order.
	Received time.Time
}

func newServiceLedger() *ServiceLedger {
	return &ServiceLedger{orders: make(map[string][]CarriedOut)}
}

func (l *ServiceLedger) add(label string, c CarriedOut) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.orders[label] = append(l.orders[label], c)
}

// Executions returns every execution of an order.
func (l *ServiceLedger) Executions(label string) []CarriedOut {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]CarriedOut(nil), l.orders[label]...)
}

// orderService is an application instance that carries out orders.
type orderService struct {
	name   string
	ledger *ServiceLedger
	ctx    context.Context
	kill   context.CancelFunc
}

func newOrderService(name string, ledger *ServiceLedger) *orderService {
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

// ServeHTTP carries out an order. The instance does it even when the caller has gone meanwhile.
func (s *orderService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	received := time.Now()
	time.Sleep(orderDuration)
	if s.ctx.Err() != nil {
		return
	}
	label := r.Header.Get(toucancaller.LabelHeader)
	s.ledger.add(label, CarriedOut{Endpoint: s.name, Received: received})
	time.Sleep(orderDuration)
	_, _ = fmt.Fprintf(w, "carried out %s\n", label) // a caller that has gone needs no answer
}
