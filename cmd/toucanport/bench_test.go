package main

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gotest.tools/v3/assert"

	"toucanport/toucandeploy"
	"toucanport/toucanfake"
	"toucanport/toucansettings"
)

// residentMB returns the resident set size of a process in MiB.
func residentMB(b *testing.B, cmd *exec.Cmd) float64 {
	b.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", cmd.Process.Pid))
	assert.NilError(b, err)
	for line := range strings.Lines(string(status)) {
		var kb float64
		if n, _ := fmt.Sscanf(line, "VmRSS: %f kB", &kb); n == 1 {
			return kb / 1024
		}
	}
	b.Fatal("no VmRSS")
	return 0
}

// openStreams is the number of streams that are open when the memory is read.
const openStreams = 2000

// BenchmarkMemoryAtOpenStreams reports the resident memory of an entry and a sidecar with 2,000 open streams.
func BenchmarkMemoryAtOpenStreams(b *testing.B) {
	engine := toucanfake.DefaultConfig("e1")
	engine.MaxSequences = 2 * openStreams
	engine.Blocks = 1 << 20
	engine.StepBase = 200 * time.Millisecond
	engine.StepPerSequence = 0
	engine.PrefillChunk = 1 << 20
	engine.StepPerPrefillToken = 0
	f := newFleet(b, engine, toucansettings.PolicyNaive)
	sidecar := f.startSidecar(f.team.Endpoints[0])
	entry := f.startEntry(0)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: openStreams}}
	for b.Loop() {
		var started, ended sync.WaitGroup
		done := make(chan struct{})
		started.Add(openStreams)
		for i := range openStreams {
			ended.Go(func() { f.holdStream(client, i, &started, done) })
		}
		started.Wait()
		time.Sleep(5 * time.Second)
		b.ReportMetric(residentMB(b, entry), "entry-MB")
		b.ReportMetric(residentMB(b, sidecar), "sidecar-MB")
		close(done)
		ended.Wait()
	}
}

// holdStream starts a long generation and reads its stream until done is closed, then disconnects. It calls
// started.Done once the response headers have arrived or the request has failed.
func (f *fleet) holdStream(client *http.Client, index int, started *sync.WaitGroup, done <-chan struct{}) {
	body := fmt.Sprintf(`{"model":"assistant","stream":true,"prompt":"outputTokens=20000 proposal %d"}`, index)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		<-done
		cancel()
	}()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+f.entries[0]+"/v1/completions", strings.NewReader(body))
	assert.Check(f.t, err)
	req.Header.Set("Authorization", "Bearer "+toucandeploy.DeriveKey(1, "totora", "sales"))
	resp, err := client.Do(req)
	started.Done()
	if !assert.Check(f.t, err) {
		return
	}
	defer resp.Body.Close()
	assert.Check(f.t, resp.StatusCode == http.StatusOK, "%s", resp.Status)
	scanner := bufio.NewScanner(resp.Body)
	for scanner.Scan() {
	}
}

// BenchmarkFirstToken compares the median time to the first token through entry and sidecar with that of direct
// requests to the engine. Requests are sequential and alternate between the two paths.
func BenchmarkFirstToken(b *testing.B) {
	engine := toucanfake.DefaultConfig("e1")
	engine.StepBase = time.Millisecond
	engine.StepPerSequence = 0
	engine.StepPerPrefillToken = 0
	f := newFleet(b, engine, toucansettings.PolicyToucan)
	f.startSidecar(f.team.Endpoints[0])
	f.startEntry(0)
	direct, through := hdrhistogram.New(1, 1e7, 3), hdrhistogram.New(1, 1e7, 3)
	for i := 0; b.Loop(); i++ {
		f.firstToken(b, direct, "http://"+f.engineAddress, i)
		f.firstToken(b, through, "http://"+f.entries[0], i)
	}
	b.ReportMetric(float64(direct.ValueAtQuantile(50)), "direct-us")
	b.ReportMetric(float64(through.ValueAtQuantile(50)), "through-us")
}

func (f *fleet) firstToken(b *testing.B, h *hdrhistogram.Histogram, url string, index int) {
	body := fmt.Sprintf(`{"model":"assistant","request_id":"%s%d","stream":true,"prompt":"outputTokens=2 question"}`, url[len(url)-5:], index)
	req, err := http.NewRequest(http.MethodPost, url+"/v1/completions", strings.NewReader(body))
	assert.NilError(b, err)
	req.Header.Set("Authorization", "Bearer "+toucandeploy.DeriveKey(1, "totora", "sales"))
	start := time.Now()
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(b, err)
	defer resp.Body.Close()
	scanner := bufio.NewScanner(resp.Body)
	first := true
	for scanner.Scan() {
		if first && strings.HasPrefix(scanner.Text(), "data:") {
			_ = h.RecordValue(time.Since(start).Microseconds())
			first = false
		}
	}
}
