// Package toucanfakeservice stands in for a plain service: it keeps a ledger of every order that it carried out,
// and can lose replies, be slow, or drop requests.
package toucanfakeservice

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"
)

const headerIdempotencyKey = "Idempotency-Key"

// Order is one call that the service carried out.
type Order struct {
	// Number counts from 1 in the order of carrying out.
	Number int
	Method string
	// Path includes the raw query.
	Path string
	Key  string
	Body string
}

// Faults are what is wrong with the service at present. The zero value is a healthy service.
type Faults struct {
	// Delay passes before a call is carried out, also when its caller has left.
	Delay time.Duration
	// DropRequests cuts connections before the call is carried out.
	DropRequests bool
	// LoseReplies cuts connections after the call was carried out.
	LoseReplies bool
}

// Answer is the body of an answer.
type Answer struct {
	Number int    `json:"number"`
	Method string `json:"method"`
	Path   string `json:"path"`
}

// Service is an http.Handler. Safe for concurrent use.
type Service struct {
	mu     sync.Mutex
	faults Faults
	orders []Order
}

// New returns a healthy service with an empty ledger.
func New() *Service { return &Service{} }

// SetFaults replaces the faults at present.
func (s *Service) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Orders returns what was carried out so far, oldest first.
func (s *Service) Orders() []Order {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Order(nil), s.orders...)
}

// ServeHTTP carries one call out.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f := s.current()
	body, err := io.ReadAll(r.Body)
	if err != nil || f.DropRequests {
		panic(http.ErrAbortHandler)
	}
	time.Sleep(f.Delay)
	o := s.carryOut(r, string(body))
	if f.LoseReplies {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status(r.Method))
	_ = json.NewEncoder(w).Encode(Answer{Number: o.Number, Method: o.Method, Path: o.Path})
}

func status(method string) int {
	if method == http.MethodPost {
		return http.StatusCreated
	}
	return http.StatusOK
}

func (s *Service) current() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

func (s *Service) carryOut(r *http.Request, body string) Order {
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
