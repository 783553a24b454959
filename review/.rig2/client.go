package main

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// caller is an ordinary client with kept connections.
type caller struct {
	http *http.Client
}

func newCaller(kept bool) *caller {
	return &caller{http: &http.Client{Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
		DisableKeepAlives:   !kept,
		MaxIdleConnsPerHost: 1000,
		DisableCompression:  true,
	}}}
}

// outcome is what a client sees of one request.
type outcome struct {
	id     string
	at     time.Time
	took   time.Duration
	status int
	// retryAfter is when the client is to come back.
	retryAfter time.Duration
	// whole is true if the body is the engine's whole one.
	whole bool
	err   error
}

// request sends one request and reads its answer.
func (c *caller) request(front, path string, body []byte, deadline time.Duration) outcome {
	o := outcome{id: newID(), at: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+front+path, bytes.NewReader(body))
	if err != nil {
		o.err = err
		return o
	}
	r.Host = host
	r.Header.Set("Attempt-Id", o.id)
	r.Header.Set("X-Api-Key", secret)
	r.Header.Set("Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	resp, err := c.http.Do(r)
	o.took = time.Since(o.at)
	if err != nil {
		o.err = err
		return o
	}
	defer func() { _ = resp.Body.Close() }()
	o.status = resp.StatusCode
	if seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		o.retryAfter = time.Duration(seconds * float64(time.Second))
	}
	got, err := io.ReadAll(resp.Body)
	o.took, o.err = time.Since(o.at), err
	o.whole = err == nil && len(got) == 800 && resp.Header.Get("Server-Seal") != ""
	return o
}

// outcomes collects what clients see.
type outcomes struct {
	mu  sync.Mutex
	all []outcome
}

func (s *outcomes) add(o outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.all = append(s.all, o)
}

func (s *outcomes) list() []outcome {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]outcome(nil), s.all...)
}

// served returns the number of outcomes from one time to another, and of those that are served.
func served(list []outcome, from, to time.Time) (n, good int) {
	for _, o := range list {
		if o.at.Before(from) || !o.at.Before(to) {
			continue
		}
		n++
		if o.status == 200 && o.whole {
			good++
		}
	}
	return n, good
}

// logOutcomes writes what clients sent and got.
func (r *rig) logOutcomes(list []outcome) {
	for _, o := range list {
		r.logf("request %s sent at %.3f s: status %d, whole %v, after %.3f s%s", o.id, o.at.Sub(r.began).Seconds(), o.status, o.whole, o.took.Seconds(), errorText(o.err))
	}
}

// logArrivals writes what an engine got and ran.
func (r *rig) logArrivals(p *plain) {
	for _, a := range p.taken() {
		r.logf("engine %s got %s at %.3f s, ran %v", p.id, a.id, a.at.Sub(r.began).Seconds(), a.ran)
	}
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return ": " + err.Error()
}
