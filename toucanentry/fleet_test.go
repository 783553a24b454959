package toucanentry_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/tidwall/gjson"
	"gotest.tools/v3/assert"

	"toucanport/toucanadmit"
	"toucanport/toucanengine"
	"toucanport/toucanentry"
	"toucanport/toucanfake"
	"toucanport/toucanlimit"
	"toucanport/toucanmember"
	"toucanport/toucanrig"
	"toucanport/toucanroute"
	"toucanport/toucansettings"
	"toucanport/toucansidecar"
	"toucanport/toucanstream"
)

const fleetSize = 2

// fleetMembers is a fake membership in which endpoints can be marked as draining.
type fleetMembers struct {
	mu       sync.Mutex
	draining map[string]bool
}

func (m *fleetMembers) Version() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return uint64(len(m.draining))
}

func (m *fleetMembers) IsDraining(address string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.draining[address]
}

func (m *fleetMembers) markDraining(address string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.draining[address] = true
}

func (m *fleetMembers) Entries() []string { return []string{"n1", "n2"} }

func (m *fleetMembers) Sidecars() []string { return []string{fleetSidecar(0), fleetSidecar(1)} }

func (m *fleetMembers) Report(toucanmember.Report) {}

// fleet is a deployment of two entries and two endpoints whose settings can be changed.
type fleet struct {
	net      *toucanrig.Network
	tree     atomic.Pointer[toucansettings.Tree]
	members  *fleetMembers
	ledger   *toucanfake.Ledger
	entries  []*toucanentry.Entry
	sidecars []*toucansidecar.Sidecar
	engines  []*toucanfake.Engine
	client   *http.Client
	wg       sync.WaitGroup
	stops    []func()
}

// Tree implements toucanentry.Settings.
func (f *fleet) Tree() *toucansettings.Tree { return f.tree.Load() }

func fleetEntry(i int) string   { return fmt.Sprintf("10.0.0.%d:8080", i+1) }
func fleetSidecar(i int) string { return fmt.Sprintf("10.0.1.%d:7000", i+1) }
func fleetEngine(i int) string  { return fmt.Sprintf("10.0.1.%d:9000", i+1) }

func fleetTree(change func(*toucansettings.Team)) *toucansettings.Tree {
	team := testTree().Teams()[0]
	team.Endpoints = nil
	for i := range fleetSize {
		team.Endpoints = append(team.Endpoints, toucansettings.Endpoint{
			Name: fmt.Sprintf("r%d", i+1), Team: team.Name, Service: "redacteur",
			Address: netip.MustParseAddrPort(fleetSidecar(i)), FailureDomain: "qc-east-a",
		})
	}
	change(&team)
	return toucansettings.NewTree([]toucansettings.Team{team})
}

func startFleet(t *testing.T, change func(*toucansettings.Team)) *fleet {
	t.Helper()
	f := &fleet{
		net:     toucanrig.NewNetwork(),
		members: &fleetMembers{draining: make(map[string]bool)},
		ledger:  toucanfake.NewLedger(),
	}
	f.tree.Store(fleetTree(change))
	ctx, cancel := context.WithCancel(context.Background())
	f.stops = append(f.stops, cancel)
	for i := range fleetSize {
		f.startEndpoint(ctx, t, i)
	}
	for i := range fleetSize {
		f.startEntry(ctx, t, i)
	}
	f.client = &http.Client{Transport: f.transport("10.0.9.9")}
	time.Sleep(time.Second)
	return f
}

func (f *fleet) stop() {
	for _, stop := range f.stops {
		stop()
	}
	f.wg.Wait()
	time.Sleep(time.Second)
}

func (f *fleet) transport(from string) *http.Transport {
	transport := &http.Transport{DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
		return f.net.Dialer(from)(ctx, address)
	}}
	f.stops = append(f.stops, transport.CloseIdleConnections)
	return transport
}

func (f *fleet) startEndpoint(ctx context.Context, t *testing.T, i int) {
	engine := toucanfake.NewEngine(toucanfake.DefaultConfig(fmt.Sprintf("e%d", i+1)), f.ledger)
	f.engines = append(f.engines, engine)
	engineLn, err := f.net.Listen(fleetEngine(i))
	assert.NilError(t, err)
	f.wg.Go(func() { _ = engine.Run(ctx, engineLn) })
	sidecar := toucansidecar.New(toucansidecar.Config{
		Instance: fmt.Sprintf("s%d", i+1), Endpoint: fmt.Sprintf("poteaux/r%d", i+1), Service: "poteaux/redacteur",
		Kind:   toucansettings.KindGeneration,
		Engine: toucanengine.New("http://"+fleetEngine(i), toucanengine.WithTransport(f.transport(fmt.Sprintf("10.0.1.%d", i+1)))),
		Policy: toucanadmit.NewNaive(toucanadmit.Config{}),
		Signer: toucanstream.NewSigner([]byte(testSecret)),
	}, toucansidecar.WithLogger(discardLogger()))
	sidecarLn, err := f.net.Listen(fleetSidecar(i))
	assert.NilError(t, err)
	f.sidecars = append(f.sidecars, sidecar)
	f.wg.Go(func() { _ = sidecar.Run(ctx, sidecarLn) })
}

func (f *fleet) startEntry(ctx context.Context, t *testing.T, i int) {
	entry := toucanentry.New(toucanentry.Config{
		Instance: fmt.Sprintf("n%d", i+1), FailureDomain: "qc-east-a", Settings: f,
		Signer: toucanstream.NewSigner([]byte(testSecret)), Dial: f.net.Dialer(fmt.Sprintf("10.0.0.%d", i+1)),
		Router:  toucanroute.NewPerService(toucanroute.Config{FailureDomain: "qc-east-a"}),
		Limiter: toucanlimit.NewShared(1),
		Members: f.members,
	}, toucanentry.WithLogger(discardLogger()))
	ln, err := f.net.Listen(fleetEntry(i))
	assert.NilError(t, err)
	f.entries = append(f.entries, entry)
	f.wg.Go(func() { _ = entry.Run(ctx, ln) })
}

func (f *fleet) startStream(t *testing.T, entry, tokens int) *http.Response {
	t.Helper()
	return f.do(t, entry, http.MethodPost, "/v1/completions", fmt.Sprintf(streamBody, tokens))
}

func (f *fleet) do(t *testing.T, entry int, method, target, body string, headers ...string) *http.Response {
	t.Helper()
	req, err := http.NewRequest(method, "http://"+fleetEntry(entry)+target, strings.NewReader(body))
	assert.NilError(t, err)
	req.Header.Set("Authorization", "Bearer "+testKey)
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := f.client.Do(req)
	assert.NilError(t, err)
	return resp
}

// sidecarOf returns the index of the endpoint that holds a generation.
func (f *fleet) sidecarOf(t *testing.T, id string) int {
	t.Helper()
	parsed, err := toucanstream.NewSigner([]byte(testSecret)).Verify(id, "poteaux/"+testWorkspace)
	assert.NilError(t, err)
	for i := range fleetSize {
		if parsed.Address.String() == fleetSidecar(i) {
			return i
		}
	}
	t.Fatalf("no endpoint has %s", parsed.Address)
	return 0
}

// TestUnstreamedAnswerRestartsAfterEngineFailure kills the engine during an answer that is not streamed. The caller
// has received nothing, so the other endpoint generates the answer again. The answer must hold no token of the
// first generation.
func TestUnstreamedAnswerRestartsAfterEngineFailure(t *testing.T) {
	withFakeClock(t, func(t *testing.T) {
		f := startFleet(t, noChange)
		defer f.stop()
		go func() {
			time.Sleep(2 * time.Second)
			for i, e := range f.engines {
				if e.Report().Running > 0 {
					f.engines[i].Kill()
				}
			}
		}()
		resp := f.do(t, 0, http.MethodPost, "/v1/completions", `{"model":"redacteur","prompt":"outputTokens=200 a plan"}`)
		defer resp.Body.Close()
		body, err := io.ReadAll(resp.Body)
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, http.StatusOK, "%s", body)
		id := resp.Header.Get("Toucan-Generation-Id")
		text := gjson.GetBytes(body, "choices.0.text").String()
		tokens, ok := toucanfake.ParseTokens(text)
		assert.Assert(t, ok)
		assert.Equal(t, len(tokens), 200)
		for i, token := range tokens {
			assert.Equal(t, token, toucanfake.TokenSource{IDHash: toucanfake.IDHash(id), Index: i})
		}
		assert.Equal(t, len(f.ledger.Generations()), 2)
	})
}

// TestRequestsThatFindNoLinkCostNoRetryBudget sends more streams than the retry budget covers while one of two endpoints
// accepts no link.
func TestRequestsThatFindNoLinkCostNoRetryBudget(t *testing.T) {
	withFakeClock(t, func(t *testing.T) {
		const streams = 40
		f := startFleet(t, noChange)
		defer f.stop()
		link := toucanrig.LinkName{From: "10.0.0.1", To: fleetSidecar(0)}
		f.net.Set(link, toucanrig.LinkState{RequestsStalled: true})
		f.net.Cut(link)
		time.Sleep(time.Second)
		var wg sync.WaitGroup
		for range streams {
			wg.Go(func() {
				resp := f.startStream(t, 0, 5)
				defer resp.Body.Close()
				checkStream(t, resp.Body, resp.Header.Get("Toucan-Generation-Id"), 0, 5)
			})
		}
		wg.Wait()
		f.net.Set(link, toucanrig.LinkState{})
		assert.Equal(t, len(f.ledger.Generations()), streams)
	})
}
