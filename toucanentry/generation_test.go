package toucanentry_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"toucanport/toucanadmit"
	"toucanport/toucanbubble"
	"toucanport/toucanengine"
	"toucanport/toucanentry"
	"toucanport/toucanfake"
	"toucanport/toucanrig"
	"toucanport/toucanroute"
	"toucanport/toucansettings"
	"toucanport/toucansidecar"
	"toucanport/toucanstream"
)

const (
	testKey       = "key-of-the-office"
	otherKey      = "key-of-the-yard"
	entryAddr     = "10.0.0.1:8080"
	sidecarAddr   = "10.0.1.1:7000"
	engineAddr    = "10.0.1.1:9000"
	testSecret    = "0123456789abcdef0123456789abcdef"
	testWorkspace = "office"
)

type fixedSettings struct{ tree *toucansettings.Tree }

func (f fixedSettings) Tree() *toucansettings.Tree { return f.tree }

// deployment is an entry, a sidecar and an engine on an in-memory network.
type deployment struct {
	net     *toucanrig.Network
	entry   *toucanentry.Entry
	sidecar *toucansidecar.Sidecar
	engine  *toucanfake.Engine
	ledger  *toucanfake.Ledger
	client  *http.Client
	// endSidecar stops the sidecar abruptly, as if its process were killed.
	endSidecar func()
	stop       func()
}

func discardLogger() *slog.Logger { return slog.New(slog.NewTextHandler(io.Discard, nil)) }

func testTree() *toucansettings.Tree {
	return toucansettings.NewTree([]toucansettings.Team{{
		Name: "poteaux",
		Services: []toucansettings.Service{{
			Name: "redacteur", Team: "poteaux", Kind: toucansettings.KindGeneration, Model: "redacteur",
		}},
		Workspaces: []toucansettings.Workspace{
			{Name: testWorkspace, Team: "poteaux", KeyHashes: []string{toucansettings.HashKey(testKey)}, Weight: 1, Services: []string{"redacteur"}},
			{Name: "yard", Team: "poteaux", KeyHashes: []string{toucansettings.HashKey(otherKey)}, Weight: 1, Services: []string{"redacteur"}},
		},
		Endpoints: []toucansettings.Endpoint{{
			Name: "r1", Team: "poteaux", Service: "redacteur", Address: netip.MustParseAddrPort(sidecarAddr), FailureDomain: "qc-east-a",
		}},
	}})
}

func startDeployment(t *testing.T) *deployment {
	t.Helper()
	return startDeploymentWithPolicy(t, toucanadmit.NewNaive(toucanadmit.Config{}))
}

func startDeploymentWithPolicy(t *testing.T, policy toucanadmit.Policy) *deployment {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	p := &deployment{net: toucanrig.NewNetwork(), ledger: toucanfake.NewLedger()}
	listen := func(address string) net.Listener {
		ln, err := p.net.Listen(address)
		assert.NilError(t, err)
		return ln
	}
	var wg sync.WaitGroup
	p.engine = toucanfake.NewEngine(toucanfake.DefaultConfig("e1"), p.ledger)
	engineLn := listen(engineAddr)
	wg.Go(func() { _ = p.engine.Run(ctx, engineLn) })

	signer := toucanstream.NewSigner([]byte(testSecret))
	transport := &http.Transport{DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
		return p.net.Dialer("10.0.1.1")(ctx, address)
	}}
	p.sidecar = toucansidecar.New(toucansidecar.Config{
		Instance: "s1", Endpoint: "poteaux/r1", Service: "poteaux/redacteur", Kind: toucansettings.KindGeneration,
		Engine: toucanengine.New("http://"+engineAddr, toucanengine.WithTransport(transport)),
		Policy: policy,
		Signer: signer,
	}, toucansidecar.WithLogger(discardLogger()))
	sidecarLn := listen(sidecarAddr)
	sidecarCtx, endSidecar := context.WithCancel(ctx)
	p.endSidecar = endSidecar
	wg.Go(func() { _ = p.sidecar.Run(sidecarCtx, sidecarLn) })

	p.entry = toucanentry.New(toucanentry.Config{
		Instance: "n1", Settings: fixedSettings{testTree()}, Signer: signer,
		Dial: p.net.Dialer("10.0.0.1"), Router: toucanroute.NewNaive(),
	}, toucanentry.WithLogger(discardLogger()))
	entryLn := listen(entryAddr)
	wg.Go(func() { _ = p.entry.Run(ctx, entryLn) })

	callers := &http.Transport{DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
		return p.net.Dialer("10.0.9.9")(ctx, address)
	}}
	p.client = &http.Client{Transport: callers}
	p.stop = func() {
		callers.CloseIdleConnections()
		cancel()
		wg.Wait()
		transport.CloseIdleConnections()
		// The HTTP server keeps a connection for half a second after an answer that it sent before the request was
		// complete.
		time.Sleep(time.Second)
	}
	time.Sleep(time.Second)
	return p
}

func (p *deployment) do(t *testing.T, method, target, key, body string, headers ...string) *http.Response {
	t.Helper()
	req, err := http.NewRequest(method, "http://"+entryAddr+target, strings.NewReader(body))
	assert.NilError(t, err)
	req.Header.Set("Authorization", "Bearer "+key)
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := p.client.Do(req)
	assert.NilError(t, err)
	return resp
}

// withFakeClock runs f in a synctest bubble. Yamux keeps timers in a process-wide pool, and a timer of one bubble
// must not be used in another. Two garbage collections empty the pool.
func withFakeClock(t *testing.T, f func(t *testing.T)) {
	t.Helper()
	runtime.GC()
	runtime.GC()
	toucanbubble.Test(t, f)
}

const streamBody = `{"model":"redacteur","stream":true,"stream_options":{"include_usage":true},"prompt":"outputTokens=%d a plan"}`

func TestStreamedGenerationIsCompleteAndInOrder(t *testing.T) {
	withFakeClock(t, func(t *testing.T) {
		p := startDeployment(t)
		defer p.stop()
		resp := p.do(t, http.MethodPost, "/v1/completions", testKey, fmt.Sprintf(streamBody, 50))
		defer resp.Body.Close()
		assert.Equal(t, resp.StatusCode, http.StatusOK)
		id := resp.Header.Get("Toucan-Generation-Id")
		checkStream(t, resp.Body, id, 0, 50)
	})
}

// checkStream reads events until [DONE] and checks that they are the tokens first to total-1 of generation id.
func checkStream(t *testing.T, body io.Reader, id string, first, total int) {
	t.Helper()
	next, done := first, false
	scanner := bufio.NewScanner(body)
	for scanner.Scan() {
		line := scanner.Text()
		if eventID, ok := strings.CutPrefix(line, "id: "); ok {
			assert.Equal(t, eventID, fmt.Sprintf("%s:%d", id, next))
			next++
		}
		if strings.Contains(line, `"text":" `) {
			assert.Assert(t, strings.Contains(line, toucanfake.TokenText(id, next-1)+`"`), "%s", line)
		}
		done = done || line == "data: [DONE]"
	}
	assert.NilError(t, scanner.Err())
	assert.Equal(t, next, total)
	assert.Assert(t, done)
}

func TestBrokenLinkIsHiddenFromCaller(t *testing.T) {
	withFakeClock(t, func(t *testing.T) {
		p := startDeployment(t)
		defer p.stop()
		go func() {
			for range 5 {
				time.Sleep(700 * time.Millisecond)
				p.net.Cut(toucanrig.LinkName{From: "10.0.0.1", To: sidecarAddr})
			}
		}()
		resp := p.do(t, http.MethodPost, "/v1/completions", testKey, fmt.Sprintf(streamBody, 400))
		defer resp.Body.Close()
		checkStream(t, resp.Body, resp.Header.Get("Toucan-Generation-Id"), 0, 400)
		assert.Equal(t, len(p.ledger.Generations()), 1)
	})
}

func TestOtherWorkspacesCannotReadAGeneration(t *testing.T) {
	withFakeClock(t, func(t *testing.T) {
		p := startDeployment(t)
		defer p.stop()
		resp := p.do(t, http.MethodPost, "/v1/completions", testKey, fmt.Sprintf(streamBody, 30))
		id := resp.Header.Get("Toucan-Generation-Id")
		checkStream(t, resp.Body, id, 0, 30)
		resp.Body.Close()

		again := p.do(t, http.MethodGet, "/v1/generations/"+id, testKey, "", "Last-Event-ID", id+":9")
		checkStream(t, again.Body, id, 10, 30)
		again.Body.Close()

		foreign := p.do(t, http.MethodGet, "/v1/generations/"+id, otherKey, "")
		defer foreign.Body.Close()
		assert.Equal(t, foreign.StatusCode, http.StatusNotFound)
	})
}

func TestCallerDisconnectCancelsGeneration(t *testing.T) {
	withFakeClock(t, func(t *testing.T) {
		p := startDeployment(t)
		defer p.stop()
		resp := p.do(t, http.MethodPost, "/v1/completions", testKey, fmt.Sprintf(streamBody, 20000))
		_, err := bufio.NewReader(resp.Body).ReadString('\n')
		assert.NilError(t, err)
		resp.Body.Close()
		time.Sleep(time.Second)
		generations := p.ledger.Generations()
		assert.Equal(t, len(generations), 1)
		assert.Assert(t, generations[0].Cancelled, "%+v", generations[0])
	})
}

func TestShutdownFinishesRequests(t *testing.T) {
	withFakeClock(t, func(t *testing.T) {
		p := startDeployment(t)
		defer p.stop()
		resp := p.do(t, http.MethodPost, "/v1/completions", testKey, fmt.Sprintf(streamBody, 200))
		defer resp.Body.Close()
		stopped := make(chan error, 2)
		go func() { stopped <- p.sidecar.Shutdown(context.Background()) }()
		go func() { stopped <- p.entry.Shutdown(context.Background()) }()
		checkStream(t, resp.Body, resp.Header.Get("Toucan-Generation-Id"), 0, 200)
		assert.NilError(t, <-stopped)
		assert.NilError(t, <-stopped)
	})
}

// TestShutdownWaitsForUndeliveredEnd stalls the link while the end of the stream is sent. The sidecar must not count
// the end as delivered, and Shutdown must not return before it is.
func TestShutdownWaitsForUndeliveredEnd(t *testing.T) {
	withFakeClock(t, func(t *testing.T) {
		p := startDeployment(t)
		defer p.stop()
		resp := p.do(t, http.MethodPost, "/v1/completions", testKey, fmt.Sprintf(streamBody, 100))
		defer resp.Body.Close()
		stopped := make(chan error, 1)
		link := toucanrig.LinkName{From: "10.0.0.1", To: sidecarAddr}
		go func() {
			time.Sleep(1750 * time.Millisecond)
			p.net.Set(link, toucanrig.LinkState{RepliesStalled: true})
			time.Sleep(300 * time.Millisecond)
			go func() {
				stopped <- p.sidecar.Shutdown(context.Background())
				p.net.Cut(link)
				p.endSidecar()
			}()
			time.Sleep(10 * time.Millisecond)
			p.net.Cut(link)
			p.net.Set(link, toucanrig.LinkState{})
		}()
		checkStream(t, resp.Body, resp.Header.Get("Toucan-Generation-Id"), 0, 100)
		assert.NilError(t, <-stopped)
	})
}

// TestResumeTakesOverFromAnOpenConnection resumes a generation while the caller's first connection is still open. The
// generation must continue on the new connection, and closing the first connection must not cancel it.
func TestResumeTakesOverFromAnOpenConnection(t *testing.T) {
	withFakeClock(t, func(t *testing.T) {
		p := startDeployment(t)
		defer p.stop()
		first := p.do(t, http.MethodPost, "/v1/completions", testKey, fmt.Sprintf(streamBody, 200))
		defer first.Body.Close()
		id := first.Header.Get("Toucan-Generation-Id")
		time.Sleep(time.Second)
		second := p.do(t, http.MethodGet, "/v1/generations/"+id, testKey, "")
		defer second.Body.Close()
		rest, err := io.ReadAll(first.Body)
		assert.NilError(t, err)
		assert.Assert(t, strings.Contains(string(rest), `"code":"superseded"`), "%s", rest[max(0, len(rest)-300):])
		assert.Assert(t, !strings.Contains(string(rest), "[DONE]"))
		first.Body.Close()
		checkStream(t, second.Body, id, 0, 200)
		generations := p.ledger.Generations()
		assert.Equal(t, len(generations), 1)
		assert.Assert(t, !generations[0].Cancelled)
	})
}

// TestBrokenOldConnectionDoesNotCancelResumedGeneration closes the first connection after the caller has resumed the
// generation on a second one. The entry must not cancel the generation.
func TestBrokenOldConnectionDoesNotCancelResumedGeneration(t *testing.T) {
	withFakeClock(t, func(t *testing.T) {
		p := startDeployment(t)
		defer p.stop()
		first := p.do(t, http.MethodPost, "/v1/completions", testKey, fmt.Sprintf(streamBody, 200))
		id := first.Header.Get("Toucan-Generation-Id")
		time.Sleep(time.Second)
		second := p.do(t, http.MethodGet, "/v1/generations/"+id, testKey, "")
		defer second.Body.Close()
		first.Body.Close()
		checkStream(t, second.Body, id, 0, 200)
	})
}

// TestCallerDisconnectAfterResumeCancelsGeneration closes the second connection, on which the caller has resumed the
// generation.
func TestCallerDisconnectAfterResumeCancelsGeneration(t *testing.T) {
	withFakeClock(t, func(t *testing.T) {
		p := startDeployment(t)
		defer p.stop()
		first := p.do(t, http.MethodPost, "/v1/completions", testKey, fmt.Sprintf(streamBody, 20000))
		defer first.Body.Close()
		second := p.do(t, http.MethodGet, "/v1/generations/"+first.Header.Get("Toucan-Generation-Id"), testKey, "")
		time.Sleep(time.Second)
		second.Body.Close()
		time.Sleep(time.Second)
		assert.Assert(t, p.ledger.Generations()[0].Cancelled)
	})
}

// TestCancelledQueuedRequestNeverStarts cancels a request while it waits in the sidecar's queue. It must never reach
// the engine.
func TestCancelledQueuedRequestNeverStarts(t *testing.T) {
	withFakeClock(t, func(t *testing.T) {
		paused := &pausedPolicy{Policy: toucanadmit.NewNaive(toucanadmit.Config{})}
		p := startDeploymentWithPolicy(t, paused)
		defer p.stop()
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() {
			req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entryAddr+"/v1/completions", strings.NewReader(fmt.Sprintf(streamBody, 10)))
			if err == nil {
				req.Header.Set("Authorization", "Bearer "+testKey)
				_, err = p.client.Do(req) //nolint:bodyclose // there is no answer
			}
			done <- err
		}()
		time.Sleep(time.Second)
		cancel()
		assert.Assert(t, errors.Is(<-done, context.Canceled))
		time.Sleep(time.Second)
		paused.open.Store(true)
		resp := p.do(t, http.MethodPost, "/v1/completions", testKey, fmt.Sprintf(streamBody, 5))
		defer resp.Body.Close()
		checkStream(t, resp.Body, resp.Header.Get("Toucan-Generation-Id"), 0, 5)
		assert.Equal(t, len(p.ledger.Generations()), 1)
	})
}

// pausedPolicy starts no request until open is set.
type pausedPolicy struct {
	toucanadmit.Policy
	open atomic.Bool
}

func (h *pausedPolicy) Next(now time.Time) []toucanadmit.Start {
	if !h.open.Load() {
		return nil
	}
	return h.Policy.Next(now)
}
