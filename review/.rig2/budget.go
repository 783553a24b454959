package main

import (
	"slices"
	"sync"
	"time"
)

const (
	budgetRate  = 400 // requests a second
	budgetCalm  = 60 * time.Second
	budgetAfter = 15 * time.Second
	budgetWork  = 140 * time.Millisecond
	// budgetWindow, budgetRatio and budgetSlack are BudgetWindowS, RetryBudgetRatio and RetryBudgetSlack of the settings.
	budgetWindow = 10 * time.Second
	budgetRatio  = 0.2
	budgetSlack  = 56
)

// send sends one request as a client does: it comes back once after a refusal, on another entry, when it was told to.
func sendOnce(r *rig, c *caller, entries []*entry, i int, seen *outcomes) {
	began := time.Now()
	o := c.request(entries[i%len(entries)].front(), "/status/2f", []byte("order"), 1500*time.Millisecond)
	seen.add(o)
	left := 1500*time.Millisecond - time.Since(began)
	if o.status != 503 || left < 100*time.Millisecond {
		return
	}
	time.Sleep(min(o.retryAfter, left/3))
	left = 1500*time.Millisecond - time.Since(began)
	seen.add(c.request(entries[(i+1)%len(entries)].front(), "/status/2f", []byte("order"), left))
}

// budgetCase: one of three engines crashes for good while the service is well used.
func budgetCase(r *rig) int {
	var engines []*plain
	for i := range 12 {
		p, err := r.newPlain(i, 6, budgetWork)
		if err != nil {
			return couldNot
		}
		engines = append(engines, p)
	}
	r.configure(1)
	var entries []*entry
	for i := range 2 {
		e, err := r.startEntry(1+i, nil)
		if err != nil || !e.awaitReady() {
			return couldNot
		}
		entries = append(entries, e)
	}
	time.Sleep(time.Second)
	seen := &outcomes{}
	c := newCaller(true)
	var clients sync.WaitGroup
	began := time.Now()
	crashed := false
	for i := 0; ; i++ {
		next := began.Add(time.Duration(i) * time.Second / budgetRate)
		if next.Sub(began) > budgetCalm+budgetAfter {
			break
		}
		time.Sleep(time.Until(next))
		if r.trouble && !crashed && time.Since(began) > budgetCalm {
			crashed = true
			for _, p := range engines[:4] {
				r.logf("engine %s crashes for good", p.id)
				p.crash()
			}
		}
		clients.Go(func() { sendOnce(r, c, entries, i, seen) })
	}
	clients.Wait()
	list := seen.list()
	n, good := served(list, began, began.Add(budgetCalm))
	r.logf("before: %d requests, %d served", n, good)
	if good*100 < n*95 {
		return couldNot
	}
	n, good = served(list, began.Add(budgetCalm), time.Now())
	r.logf("from then on: %d requests, %d served", n, good)
	return checkBudget(r, list, engines)
}

// checkBudget compares the arrivals beyond the first of each request with the bound, for each window that ends at such an arrival.
func checkBudget(r *rig, list []outcome, engines []*plain) int {
	var all []arrival
	for _, e := range engines {
		all = append(all, e.taken()...)
	}
	slices.SortFunc(all, func(a, b arrival) int { return a.at.Compare(b.at) })
	seen := map[string]bool{}
	var again []time.Time
	for _, a := range all {
		if seen[a.id] {
			again = append(again, a.at)
		}
		seen[a.id] = true
	}
	slices.SortFunc(list, func(a, b outcome) int { return a.at.Compare(b.at) })
	requests := func(from time.Time) int {
		before := func(t time.Time) int {
			i, _ := slices.BinarySearchFunc(list, t, func(o outcome, t time.Time) int { return o.at.Compare(t) })
			return i
		}
		return before(from.Add(budgetWindow)) - before(from)
	}
	r.logf("%d arrivals at engines, %d beyond the first of their request", len(all), len(again))
	worst, excess := 0, -1e9
	allowed := 0.0
	first := 0
	for last, at := range again {
		from := at.Add(-budgetWindow)
		for !again[first].After(from) {
			first++
		}
		most := max(requests(from), requests(from.Add(-budgetWindow)), requests(from.Add(-budgetWindow/2)))
		bound := budgetRatio*float64(most) + budgetSlack
		if extra := last - first + 1; float64(extra)-bound > excess {
			worst, excess, allowed = extra, float64(extra)-bound, bound
		}
	}
	r.logf("worst window: %d arrivals beyond the first, %.0f allowed", worst, allowed)
	if excess > 0 {
		r.logf("BUDGET: broken")
		return broken
	}
	return held
}
