package toucanplace

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkPlace reserves and releases capacity of one service, in a cell of the size that the system is designed for.
func BenchmarkPlace(b *testing.B) {
	placer := NewPlacer("d1")
	var list []Endpoint
	for i := range 212 {
		list = append(list, Endpoint{ID: fmt.Sprint("endpoint-", i), Service: fmt.Sprint("s", i%18), Slots: 64, MemoryTokens: 30000})
	}
	placer.SetEndpoints(list)
	now := time.Now()
	for p := range 25 {
		uses := make(map[uint64]Use)
		for _, e := range list {
			uses[e.Key()] = Use{Requests: 1, Tokens: 100}
		}
		placer.Observe(now, fmt.Sprint("peer-", p), uses)
	}
	b.ReportAllocs()
	for b.Loop() {
		reservation, err := placer.Place(now, "s3", Demand{Prompt: 500, Output: 100}, nil)
		if err != nil {
			b.Fatal(err)
		}
		reservation.Done(now, OutcomeGood)
	}
}

// BenchmarkPlaceUneven is a choice among 130 endpoints of one service that differ in pace, a part of which peers use.
func BenchmarkPlaceUneven(b *testing.B) {
	pauses := make([]time.Duration, 130)
	for i := range pauses {
		pauses[i] = brokenPause
		if i%4 == 0 {
			pauses[i] = soundPause
		}
	}
	placer, list := unevenPlacer(pauses...)
	now := time.Now()
	for p := range 15 {
		uses := make(map[uint64]Use)
		for i := p; i < len(list); i += 15 {
			uses[list[i].Key()] = Use{Requests: 2, Tokens: 7000, Held: 6000, Exposed: 1}
		}
		placer.Observe(now, fmt.Sprint("peer-", p), uses)
	}
	b.ReportAllocs()
	for b.Loop() {
		reservation, err := placer.Place(now, "s", longDemand, nil)
		if err != nil {
			b.Fatal(err)
		}
		reservation.Done(now, OutcomeGood)
	}
}
