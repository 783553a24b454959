package main

import (
	"sync"
	"time"
)

const (
	// handoverStreams is the number of streams, and handoverEvents the number of events of each.
	handoverStreams = 8
	handoverEvents  = 234
	// handoverLost is which call that stops a run loses its answer, counted from 1.
	handoverLost = 3
)

// handoverCase: an engine drains, its streams are moved, and the answer to one call that stops a run for its move is lost.
func handoverCase(r *rig) int {
	peers := map[string]*model{}
	var engines []*model
	for i := range 3 {
		m, err := r.newModel(10+i, peers)
		if err != nil {
			return couldNot
		}
		engines = append(engines, m)
	}
	lost, calls := "", 0
	if r.trouble {
		engines[0].loses = func(id string) bool {
			calls++
			if calls != handoverLost {
				return false
			}
			lost = id
			return true
		}
	}
	engines[0].beat()
	r.configure(1)
	e, err := r.startEntry(1, nil)
	if err != nil || !e.awaitReady() {
		return couldNot
	}
	time.Sleep(time.Second)
	var mu sync.Mutex
	var all []heard
	var clients sync.WaitGroup
	for range handoverStreams {
		clients.Go(func() {
			h := stream(newCaller(true), e.front(), handoverEvents)
			mu.Lock()
			defer mu.Unlock()
			all = append(all, h)
		})
	}
	time.Sleep(time.Second)
	for _, m := range engines[1:] {
		m.beat()
	}
	time.Sleep(time.Second)
	r.logf("engine %s drains", engines[0].id)
	engines[0].drain()
	clients.Wait()
	whole, result := 0, held
	for _, h := range all {
		r.logf("stream %s: status %d, %d of %d events, in order %v, ends as complete %v, error %v", h.id, h.status, len(h.events), handoverEvents, h.inOrder(), h.complete, h.err)
		switch {
		case h.status == 200 && (!h.inOrder() || h.complete && len(h.events) < handoverEvents):
			r.logf("ORDER: stream %s ends as complete after event %d, its answer to kv-move was lost: %v", h.id, len(h.events), h.id == lost)
			result = broken
		case h.complete && len(h.events) == handoverEvents:
			whole++
		}
	}
	r.logf("%d of %d streams are whole", whole, handoverStreams)
	if !r.trouble && whole < handoverStreams {
		return couldNot
	}
	if r.trouble && lost == "" {
		return couldNot
	}
	return result
}
