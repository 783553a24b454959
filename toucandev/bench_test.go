package toucandev

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"toucanport/toucandeploy"
	"toucanport/toucanfake"
	"toucanport/toucansettings"
)

const (
	benchStreams = 64
	benchTokens  = 400
)

// benchEngine configures an engine with decoding steps of 10 ms at any batch size.
func benchEngine(name string) toucanfake.Config {
	cfg := toucanfake.DefaultConfig(name)
	cfg.StepBase = 10 * time.Millisecond
	cfg.StepPerSequence = 0
	return cfg
}

func cpuTime(b *testing.B) time.Duration {
	b.Helper()
	var usage syscall.Rusage
	assert.NilError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// benchStream measures the CPU time per token of 64 concurrent streams from url. It counts tokens by occurrences of
// mark, which precedes the text of each token.
func benchStream(b *testing.B, url, key, mark string) {
	b.Helper()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: benchStreams}}
	defer client.CloseIdleConnections()
	b.ReportAllocs()
	start := cpuTime(b)
	for b.Loop() {
		var wg sync.WaitGroup
		for range benchStreams {
			wg.Go(func() { readStream(b, client, url, key, mark) })
		}
		wg.Wait()
	}
	used := cpuTime(b) - start
	tokens := float64(b.N * benchStreams * benchTokens)
	b.ReportMetric(float64(used.Microseconds())/tokens, "cpu-us/token")
	b.ReportMetric(0, "ns/op")
}

func readStream(b *testing.B, client *http.Client, url, key, mark string) {
	body := fmt.Sprintf(`{"model":"assistant","stream":true,"prompt":"outputTokens=%d","request_id":"%d"}`, benchTokens, rand.Uint64())
	req, err := http.NewRequest(http.MethodPost, url+"/v1/completions", strings.NewReader(body))
	if err != nil {
		b.Error(err)
		return
	}
	req.Header.Set("Authorization", "Bearer "+key)
	resp, err := client.Do(req)
	if err != nil {
		b.Error(err)
		return
	}
	defer resp.Body.Close()
	tokens := 0
	scanner := bufio.NewScanner(resp.Body)
	for scanner.Scan() {
		tokens += bytes.Count(scanner.Bytes(), []byte(mark))
	}
	if tokens != benchTokens {
		b.Errorf("received %d tokens, want %d", tokens, benchTokens)
	}
}

func BenchmarkTokenDirect(b *testing.B) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	ln, err := net.Listen("tcp", loopback)
	assert.NilError(b, err)
	engine := toucanfake.NewEngine(benchEngine("direct"), toucanfake.NewLedger())
	go func() { _ = engine.Run(ctx, ln) }()
	benchStream(b, "http://"+ln.Addr().String(), "none", `" `)
}

func BenchmarkTokenThroughEntryAndSidecar(b *testing.B) {
	ctx, cancel := context.WithCancel(context.Background())
	system, err := Start(ctx, Config{
		Deployment: toucandeploy.Deployment{
			Team:           "totora",
			FailureDomains: []string{"lima-a"},
			Services:       []toucandeploy.Service{{Name: "assistant", Kind: toucansettings.KindGeneration, Weigh: toucansettings.PrioritizeInterTokenLatency, Endpoints: 1}},
			Workspaces:     []toucandeploy.Workspace{{Name: "sales", Weight: 1}},
		},
		Listen:  loopback,
		Entries: 1,
		Policy:  toucansettings.PolicyNaive,
		Seed:    1,
		Engine:  benchEngine,
		Log:     slog.New(slog.NewTextHandler(io.Discard, nil)),
	})
	assert.NilError(b, err)
	defer system.Wait()
	defer cancel()
	time.Sleep(time.Second)
	benchStream(b, "http://"+system.Entries()[0], system.WorkspaceKeys()[0].Key, `"text":" `)
}
