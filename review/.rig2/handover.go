package main

import (
	"sync"
	"time"
)

const (
	// handoverEngines is the number of engines, of which one drains: 0.125, where scale_in takes 0.13.
	handoverEngines = 8
	// handoverStreams is the number of long streams, and handoverEvents the number of events of each.
	handoverStreams = 32
	handoverEvents  = 234
	// shortPause is the time between two short streams, of shortEvents, beside them.
	shortPause  = 8 * time.Millisecond
	shortEvents = 3
	// lostTime is how long answers are lost at the most, and lostShare the largest share of the requests that an engine ran in that time.
	lostTime  = 4 * time.Second
	lostShare = 0.05
)

// handoverCase: an engine drains, its streams are moved, and the answer to one call that stops a run for its move is lost.
func handoverCase(r *rig) int {
	peers := map[string]*model{}
	var engines []*model
	for i := range handoverEngines {
		m, err := r.newModel(10+i, peers)
		if err != nil {
			return couldNot
		}
		engines = append(engines, m)
	}
	lost := ""
	var lostAt time.Time
	for _, m := range engines {
		m.loses = func(id string, events int) bool {
			if !r.trouble || m != engines[0] || lost != "" || events < handoverEvents {
				return false
			}
			lost, lostAt = id, time.Now()
			return true
		}
		m.beat()
	}
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
	stop := make(chan struct{})
	clients.Go(func() {
		sendShort(&clients, e, stop, func(h heard) {
			mu.Lock()
			defer mu.Unlock()
			all = append(all, h)
		})
	})
	time.Sleep(lostTime - time.Second)
	r.logf("engine %s drains", engines[0].id)
	engines[0].drain()
	time.Sleep(time.Second)
	close(stop)
	clients.Wait()
	whole, result := 0, held
	for _, h := range all {
		r.logf("stream %s: status %d, %d of %d events, in order %v, ends as complete %v, error %v", h.id, h.status, len(h.events), h.asked, h.inOrder(), h.complete, h.err)
		switch {
		case h.status == 200 && (!h.inOrder() || h.complete && len(h.events) < h.asked):
			r.logf("ORDER: stream %s ends as complete after event %d, its answer to kv-move was lost: %v", h.id, len(h.events), h.id == lost)
			result = broken
		case h.complete && len(h.events) == h.asked:
			whole++
		}
	}
	r.logf("%d of %d streams are whole", whole, len(all))
	if !r.trouble {
		if whole < len(all) && result == held {
			return couldNot
		}
		return result
	}
	if lost == "" {
		return couldNot
	}
	ran := engines[0].ranSince(lostAt.Add(-lostTime))
	r.logf("engine %s lost 1 answer, and ran %d requests in the %v before: %.3f, at most %.3f", engines[0].id, ran, lostTime, 1/float64(max(ran, 1)), lostShare)
	if 1 > lostShare*float64(ran) {
		return couldNot
	}
	return result
}

// sendShort sends short streams until stop is closed.
func sendShort(clients *sync.WaitGroup, e *entry, stop chan struct{}, report func(heard)) {
	c := newCaller(true)
	for {
		select {
		case <-stop:
			return
		case <-time.After(shortPause):
		}
		clients.Go(func() { report(stream(c, e.front(), shortEvents)) })
	}
}
