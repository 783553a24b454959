// Package toucanfakeservice implements a fake plain service for tests. It records every order that it executes, and
// can lose replies, be slow, or drop requests.
package toucanfakeservice

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"
)

const headerIdempotencyKey = "Idempotency-Key"

// Order is a call that the service executed.
type Order struct {
	// Number is the position in the order of execution, from 1.
	Number int
	Method string
	// Path includes the raw query.
	Path string
	// Key is the idempotency key; empty without one.
	Key  string
	Body string
}

// Faults configures the faults of the fake service. The zero value is a healthy service.
type Faults struct {
	// Delay is the time before a call is executed. The call is executed even if its caller disconnects before that.
	Delay time.Duration
	// DropRequests closes the connection without executing the call.
	DropRequests bool
	// LoseReplies closes the connection after executing the call, without a reply.
	LoseReplies bool
}

// Answer is the JSON body of the reply to an executed call.
type Answer struct {
	Number int    `json:"number"`
	Method string `json:"method"`
	Path   string `json:"path"`
}

// Service is the fake service. It implements http.Handler and is safe for concurrent use.
type Service struct {
	mu     sync.Mutex
	faults Faults
	orders []Order
}

// New returns a healthy service without recorded orders.
func New() *Service { return &Service{} }

// SetFaults replaces the current faults.
func (s *Service) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Orders returns the calls executed so far, oldest first.
func (s *Service) Orders() []Order {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Order(nil), s.orders...)
}

// ServeHTTP executes and records a call, subject to the current faults.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f := s.currentFaults()
	body, err := io.ReadAll(r.Body)
	if err != nil || f.DropRequests {
		panic(http.ErrAbortHandler)
	}
	time.Sleep(f.Delay)
	o := s.execute(r, string(body))
	if f.LoseReplies {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(successStatus(r.Method))
	_ = json.NewEncoder(w).Encode(Answer{Number: o.Number, Method: o.Method, Path: o.Path})
}

func successStatus(method string) int {
	if method == http.MethodPost {
		return http.StatusCreated
	}
	return http.StatusOK
}

func (s *Service) currentFaults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

func (s *Service) execute(r *http.Request, body string) Order {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := Order{
		Number: len(s.orders) + 1,
		Method: r.Method,
		Path:   r.URL.RequestURI(),
		Key:    r.Header.Get(headerIdempotencyKey),
		Body:   body,
	}
	s.orders = append(s.orders, o)
	return o
}
