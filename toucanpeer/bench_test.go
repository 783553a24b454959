package toucanpeer

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"toucanport/toucanplace"
)

// newLoadedState returns the state of an entry that has placed 100 requests in a cell with 212 endpoints.
func newLoadedState(b *testing.B) *SharedState {
	b.Helper()
	placer := toucanplace.NewPlacer("d1")
	var list []toucanplace.Endpoint
	for i := range 212 {
		list = append(list, toucanplace.Endpoint{ID: fmt.Sprint("endpoint-", i), Service: "s", Slots: 8, MemoryTokens: 30000})
	}
	placer.SetEndpoints(list)
	for range 100 {
		if _, err := placer.Place(time.Now(), "s", toucanplace.Demand{Prompt: 3000, Output: 800}, nil); err != nil {
			b.Fatal(err)
		}
	}
	return NewSharedState(placer)
}

// BenchmarkReport measures building and encoding a report.
func BenchmarkReport(b *testing.B) {
	state := newLoadedState(b)
	size := 0
	b.ReportAllocs()
	for b.Loop() {
		r := state.Report()
		r.Sender = "entry-17"
		encoded, err := proto.Marshal(r)
		if err != nil {
			b.Fatal(err)
		}
		size = len(encoded)
	}
	b.ReportMetric(float64(size), "bytes")
}

// BenchmarkApply measures encoding, decoding and applying a report.
func BenchmarkApply(b *testing.B) {
	state := newLoadedState(b)
	r := state.Report()
	r.Sender, r.Boot = "entry-18", 1
	serial := uint64(0)
	b.ReportAllocs()
	for b.Loop() {
		serial++
		r.Serial = serial
		encoded, err := proto.Marshal(r)
		if err != nil {
			b.Fatal(err)
		}
		received := &Report{}
		if err := proto.Unmarshal(encoded, received); err != nil {
			b.Fatal(err)
		}
		state.Apply(time.Now(), received)
	}
}
