package toucanfake_test

import (
	"net"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"toucanport/toucanengine"
	"toucanport/toucanfake"
)

// BenchmarkDirect measures the cost of one token streamed from the fake engine to its client over loopback TCP,
// with 64 concurrent streams.
func BenchmarkDirect(b *testing.B) {
	const streams = 64
	cfg := toucanfake.DefaultConfig("a")
	cfg.StepBase = 100 * time.Microsecond
	cfg.StepPerSequence = 0
	cfg.Blocks = 1 << 20
	engine := toucanfake.NewEngine(cfg, toucanfake.NewLedger())
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(b, err)
	go func() { assert.Check(b, engine.Run(b.Context(), ln)) }()
	defer engine.Kill()
	client := toucanengine.New("http://" + ln.Addr().String())
	b.ReportAllocs()
	b.ResetTimer()
	var wg sync.WaitGroup
	for i := range streams {
		wg.Go(func() {
			r := newRequest(string(rune('A'+i)), b.N/streams+1)
			s, err := client.Generate(b.Context(), r)
			if err != nil {
				b.Error(err)
				return
			}
			if _, _, err = readStream(s, 0); err != nil {
				b.Error(err)
			}
		})
	}
	wg.Wait()
}
