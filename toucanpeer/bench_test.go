package toucanpeer

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"toucanport/toucanplace"
)

// fullBoard is a board of an entry in a cell with 212 endpoints, 100 of which it uses.
func fullBoard(b *testing.B) *Board {
	b.Helper()
	book := toucanplace.NewBook("d1")
	var list []toucanplace.Endpoint
	for i := range 212 {
		list = append(list, toucanplace.Endpoint{ID: fmt.Sprint("endpoint-", i), Service: "s", Slots: 8, MemoryTokens: 30000})
	}
	book.SetEndpoints(list)
	for range 100 {
		if _, err := book.Place(time.Now(), "s", toucanplace.Demand{Prompt: 3000, Output: 800}, nil); err != nil {
			b.Fatal(err)
		}
	}
	return NewBoard(book)
}

// BenchmarkReport makes and encodes one report.
func BenchmarkReport(b *testing.B) {
	board := fullBoard(b)
	size := 0
	b.ReportAllocs()
	for b.Loop() {
		r := board.report()
		r.Sender = "entry-17"
		encoded, err := proto.Marshal(r)
		if err != nil {
			b.Fatal(err)
		}
		size = len(encoded)
	}
	b.ReportMetric(float64(size), "bytes")
}

// BenchmarkTake decodes one report and takes it in.
func BenchmarkTake(b *testing.B) {
	board := fullBoard(b)
	r := board.report()
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
		taken := &Report{}
		if err := proto.Unmarshal(encoded, taken); err != nil {
			b.Fatal(err)
		}
		board.Take(time.Now(), taken)
	}
}
