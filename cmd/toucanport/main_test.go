package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"toucanport/toucanapi"
	"toucanport/toucanchange"
	"toucanport/toucancmd"
	"toucanport/toucandeploy"
	"toucanport/toucanfake"
	"toucanport/toucanfakemember"
	"toucanport/toucanfakeservice"
	"toucanport/toucanfakestore"
	"toucanport/toucanreplicate"
	"toucanport/toucanrevision"
	"toucanport/toucansettings"
	"toucanport/toucanwire"
)

// childVariable is the environment variable that makes the test binary run the command line instead of the tests.
const childVariable = "TOUCANPORT_TEST_CHILD"

func TestMain(m *testing.M) {
	if os.Getenv(childVariable) != "" {
		os.Exit(toucancmd.Main(os.Args[1:]))
	}
	os.Exit(m.Run())
}

const (
	generationSecret = "0123456789abcdef0123456789abcdef"
	// processTimeout is the timeout for a process to become ready and for the service to receive an order.
	processTimeout = time.Minute
)

// fleet is a deployment of separate entry and sidecar processes. The test process runs the fake store, instance
// list, engine and plain service that they use.
type fleet struct {
	t       testing.TB
	dir     string
	store   *toucanfakestore.Memory
	ledger  *toucanfake.Ledger
	service *toucanfakeservice.Service
	team    toucansettings.Team
	// entries and operators are the callers' and operators' listen addresses, by entry index.
	entries   []string
	operators []string
	// commonSettings contains the lines that every settings file has in common. engineAddress and
	// serviceAddress are the addresses of the engine and of the plain service.
	commonSettings string
	engineAddress  string
	serviceAddress string
	// arrived receives a value for each call that reaches the plain service.
	arrived chan struct{}
}

// Range of the processes' listen ports. It lies below the ephemeral ports, so that no outgoing connection occupies
// a port between its selection and the start of its process.
const (
	firstPort = 10000
	lastPort  = 30000
)

var (
	portMu sync.Mutex
	// lastTried is guarded by portMu. It starts at a random port, since other test runs can select ports at the
	// same time.
	lastTried = firstPort + rand.IntN(lastPort-firstPort)
)

// freeAddress returns a loopback address that no process listens on.
func freeAddress(t testing.TB) string {
	t.Helper()
	portMu.Lock()
	defer portMu.Unlock()
	for {
		lastTried++
		if lastTried > lastPort {
			lastTried = firstPort
		}
		ln, err := net.Listen("tcp", net.JoinHostPort("127.0.0.1", strconv.Itoa(lastTried)))
		if err != nil {
			continue
		}
		address := ln.Addr().String()
		assert.NilError(t, ln.Close())
		return address
	}
}

func (f *fleet) serve(h http.Handler) string {
	f.t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(f.t, err)
	server := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(ln) }()
	f.t.Cleanup(func() { _ = server.Close() })
	return ln.Addr().String()
}

func newFleet(t testing.TB, engine toucanfake.Config, policy toucansettings.Policy) *fleet {
	t.Helper()
	f := &fleet{t: t, dir: t.TempDir(), store: toucanfakestore.New(), ledger: toucanfake.NewLedger(), service: toucanfakeservice.New(), arrived: make(chan struct{}, 16)}
	f.commonSettings = fmt.Sprintf("store = %q\ninstanceList = %q\ngenerationSecret = %q\ninsecure = true\n",
		f.serve(f.store.Handler()), f.serve(toucanfakemember.New(0)), generationSecret)
	f.serviceAddress = f.serve(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f.arrived <- struct{}{}
		f.service.ServeHTTP(w, r)
	}))
	f.startEngine(engine)
	d := toucandeploy.Deployment{
		Team:           "totora",
		FailureDomains: []string{"lima-a"},
		Services: []toucandeploy.Service{
			{Name: "assistant", Kind: toucansettings.KindGeneration, Endpoints: 1, Weigh: toucansettings.PrioritizeInterTokenLatency},
			{Name: "corte", Kind: toucansettings.KindPlain, Endpoints: 1, Weigh: toucansettings.PrioritizeInterTokenLatency},
		},
		Workspaces: []toucandeploy.Workspace{{Name: "sales", Weight: 1}},
	}
	f.team = d.Settings(policy, 1, func(toucandeploy.Service, int) netip.AddrPort {
		return netip.MustParseAddrPort(freeAddress(t))
	})
	f.writeTeam()
	for range 2 {
		f.entries = append(f.entries, freeAddress(t))
		f.operators = append(f.operators, freeAddress(t))
	}
	return f
}

func (f *fleet) startEngine(cfg toucanfake.Config) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(f.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	f.t.Cleanup(cancel)
	engine := toucanfake.NewEngine(cfg, f.ledger)
	go func() { _ = engine.Run(ctx, ln) }()
	f.engineAddress = ln.Addr().String()
}

func (f *fleet) writeTeam() {
	body, err := toucansettings.EncodeTeam(f.team)
	assert.NilError(f.t, err)
	path := toucansettings.TeamPath(f.team.Name)
	declared, err := toucanrevision.ParseDeclaration(path, path, body)
	assert.NilError(f.t, err)
	edits, err := toucanrevision.Diff(toucanrevision.NewDocument(path), declared)
	assert.NilError(f.t, err)
	_, err = toucanchange.New(f.store, toucanreplicate.NewHolder()).Apply(context.Background(), toucanchange.Request{
		ID: "first", Document: path, Author: "test", Edits: edits,
	})
	assert.NilError(f.t, err)
}

// start starts a process and kills it at the end of the test. If the test fails, it logs how the process
// ended and its standard error.
func (f *fleet) start(command, name, settings string) *exec.Cmd {
	f.t.Helper()
	file := filepath.Join(f.dir, name+".toml")
	assert.NilError(f.t, os.WriteFile(file, []byte(settings), 0o600))
	cmd := exec.Command(os.Args[0], command, file)
	cmd.Env = append(os.Environ(), childVariable+"=1")
	output := &strings.Builder{}
	cmd.Stderr = output
	assert.NilError(f.t, cmd.Start())
	f.t.Cleanup(func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
		if f.t.Failed() {
			f.t.Logf("%s, %s:\n%s", name, cmd.ProcessState, output.String())
		}
	})
	return cmd
}

func (f *fleet) startEntry(index int) *exec.Cmd {
	name := fmt.Sprintf("entry%d", index)
	cmd := f.start("entry", name, fmt.Sprintf("instance = %q\nfailureDomain = \"lima-a\"\nlisten = %q\noperatorListen = %q\n",
		name, f.entries[index], f.operators[index])+f.commonSettings)
	f.awaitReady(f.entries[index])
	return cmd
}

func (f *fleet) awaitReady(address string) {
	f.t.Helper()
	poll.WaitOn(f.t, func(poll.LogT) poll.Result {
		resp, err := http.Get("http://" + address + "/healthz")
		if err != nil {
			return poll.Continue("%v", err)
		}
		resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			return poll.Continue("%s", resp.Status)
		}
		return poll.Success()
	}, poll.WithTimeout(processTimeout))
}

func (f *fleet) startSidecar(endpoint toucansettings.Endpoint) *exec.Cmd {
	backend := fmt.Sprintf("engine = %q\n", f.engineAddress)
	if endpoint.Service == "corte" {
		backend = fmt.Sprintf("application = %q\n", f.serviceAddress)
	}
	cmd := f.start("sidecar", endpoint.Name, fmt.Sprintf(
		"instance = %q\nteam = \"totora\"\nendpoint = %q\nservice = %q\nfailureDomain = \"lima-a\"\ninnerListen = %q\n",
		endpoint.Name, endpoint.Name, endpoint.Service, endpoint.Address)+backend+f.commonSettings)
	f.awaitListening(endpoint.Address.String())
	return cmd
}

func (f *fleet) awaitListening(address string) {
	f.t.Helper()
	poll.WaitOn(f.t, func(poll.LogT) poll.Result {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			return poll.Continue("%v", err)
		}
		conn.Close()
		return poll.Success()
	}, poll.WithTimeout(processTimeout))
}

func (f *fleet) request(entry int, method, path, body string, headers ...string) *http.Response {
	f.t.Helper()
	req, err := http.NewRequest(method, "http://"+f.entries[entry]+path, strings.NewReader(body))
	assert.NilError(f.t, err)
	req.Header.Set("Authorization", "Bearer "+toucandeploy.DeriveKey(1, "totora", "sales"))
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(f.t, err)
	return resp
}

// streamReader reads the stream of one generation, across several connections, and checks its event ids and tokens.
type streamReader struct {
	t testing.TB
	// id is the generation's id, from the first response.
	id string
	// next is the index of the next expected token.
	next int
	done bool
	// body is the response body that is being read. lines scans it and buffers lines that were received but not yet
	// returned.
	body  io.Reader
	lines *bufio.Scanner
}

// read reads events until the stream ends or breaks, or until it has read the token with index stop-1.
func (r *streamReader) read(body io.Reader, stop int) {
	r.t.Helper()
	if r.body != body {
		r.body, r.lines = body, bufio.NewScanner(body)
	}
	for r.lines.Scan() {
		line := r.lines.Text()
		if event, ok := strings.CutPrefix(line, "id: "); ok {
			assert.Equal(r.t, event, fmt.Sprintf("%s:%d", r.id, r.next))
			r.next++
		}
		if strings.Contains(line, `"text":" `) {
			assert.Assert(r.t, strings.Contains(line, toucanfake.TokenText(r.id, r.next-1)+`"`), "%s", line)
			if r.next == stop {
				return
			}
		}
		r.done = r.done || line == "data: [DONE]"
	}
}

const generationRequest = `{"model":"assistant","stream":true,"prompt":"outputTokens=150 a proposal"}`

// startStream starts a generation of 150 tokens at the first entry and reads the first 20.
func (f *fleet) startStream() (*http.Response, *streamReader) {
	f.t.Helper()
	resp := f.request(0, http.MethodPost, "/v1/completions", generationRequest)
	assert.Equal(f.t, resp.StatusCode, http.StatusOK)
	r := &streamReader{t: f.t, id: resp.Header.Get("Toucan-Generation-Id")}
	r.read(resp.Body, 20)
	assert.Equal(f.t, r.next, 20)
	return resp, r
}

func (f *fleet) assertComplete(r *streamReader) {
	f.t.Helper()
	assert.Assert(f.t, r.done, "the stream ended after %d tokens", r.next)
	assert.Equal(f.t, r.next, 150)
	assert.Equal(f.t, len(f.ledger.Generations()), 1)
}

func TestProcessesUnderFailure(t *testing.T) {
	tests := []struct {
		name string
		// fail injects the fault after 20 tokens.
		fail func(t *testing.T, f *fleet, entry, sidecar *exec.Cmd)
		// resumed is true if the caller's connection breaks and the caller resumes the stream at the other entry.
		resumed bool
	}{
		{
			name: "sidecar killed and replaced",
			fail: func(t *testing.T, f *fleet, _, sidecar *exec.Cmd) {
				assert.NilError(t, sidecar.Process.Kill())
				_ = sidecar.Wait()
				f.startSidecar(f.team.Endpoints[0])
			},
		},
		{
			name: "sidecar frozen for three seconds",
			fail: func(t *testing.T, _ *fleet, _, sidecar *exec.Cmd) {
				assert.NilError(t, sidecar.Process.Signal(syscall.SIGSTOP))
				t.Logf("stopped at %s", time.Now().Format(time.RFC3339Nano))
				time.Sleep(3 * time.Second)
				assert.NilError(t, sidecar.Process.Signal(syscall.SIGCONT))
				t.Logf("continued at %s", time.Now().Format(time.RFC3339Nano))
			},
		},
		{
			name: "sidecar and entry receive SIGTERM",
			fail: func(t *testing.T, _ *fleet, entry, sidecar *exec.Cmd) {
				assert.NilError(t, sidecar.Process.Signal(syscall.SIGTERM))
				assert.NilError(t, entry.Process.Signal(syscall.SIGTERM))
			},
		},
		{
			name: "store down",
			fail: func(_ *testing.T, f *fleet, _, _ *exec.Cmd) { f.store.SetFaults(toucanfakestore.Faults{Down: true}) },
		},
		{
			name: "entry killed",
			fail: func(t *testing.T, _ *fleet, entry, _ *exec.Cmd) {
				assert.NilError(t, entry.Process.Kill())
			},
			resumed: true,
		},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, toucanfake.DefaultConfig("e1"), toucansettings.PolicyToucan)
			sidecar := f.startSidecar(f.team.Endpoints[0])
			entry := f.startEntry(0)
			f.startEntry(1)
			resp, r := f.startStream()
			defer resp.Body.Close()
			tc.fail(t, f, entry, sidecar)
			r.read(resp.Body, 0)
			if tc.resumed {
				assert.Assert(t, !r.done)
				again := f.request(1, http.MethodGet, "/v1/generations/"+r.id, "", "Last-Event-ID", fmt.Sprintf("%s:%d", r.id, r.next-1))
				defer again.Body.Close()
				r.read(again.Body, 0)
			}
			f.assertComplete(r)
		})
	}
}

func TestStoppedProcessesExitCleanly(t *testing.T) {
	f := newFleet(t, toucanfake.DefaultConfig("e1"), toucansettings.PolicyToucan)
	sidecar := f.startSidecar(f.team.Endpoints[0])
	entry := f.startEntry(0)
	for _, cmd := range []*exec.Cmd{entry, sidecar} {
		assert.NilError(t, cmd.Process.Signal(syscall.SIGTERM))
		assert.NilError(t, cmd.Wait())
	}
}

// order sends an order through an entry, always with the same idempotency key. It returns the response status and
// the ran field of the error body.
func (f *fleet) order(entry int) (status int, ran string) {
	f.t.Helper()
	resp := f.request(entry, http.MethodPost, "/services/corte/orders", `{"panel":"40x60"}`, "Idempotency-Key", "order-1")
	defer resp.Body.Close()
	var body toucanapi.ErrorBody
	_ = json.NewDecoder(resp.Body).Decode(&body) // the answer of a successful order is not an error body
	return resp.StatusCode, body.Error.Ran
}

// TestOrderRunsAtMostOnceWhenSidecarIsKilled checks that an order whose sidecar is killed does not run a second time
// when it is retried through either entry, and that no answer reports that it did not run.
func TestOrderRunsAtMostOnceWhenSidecarIsKilled(t *testing.T) {
	tests := []struct {
		name string
		// during is true if the sidecar is killed while the endpoint processes the order.
		during bool
	}{{name: "after the answer"}, {name: "during the call", during: true}}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, toucanfake.DefaultConfig("e1"), toucansettings.PolicyToucan)
			endpoint := f.team.Endpoints[1]
			sidecar := f.startSidecar(endpoint)
			f.startEntry(0)
			f.startEntry(1)
			if tc.during {
				f.service.SetFaults(toucanfakeservice.Faults{Delay: 2 * time.Second})
			}
			first := make(chan struct{})
			go func() {
				defer close(first)
				status, ran := f.order(0)
				assert.Check(t, ran != toucanwire.RanNo)
				assert.Check(t, tc.during || status == http.StatusCreated, "%d", status)
			}()
			if tc.during {
				<-f.arrived
			} else {
				<-first
			}
			assert.NilError(t, sidecar.Process.Kill())
			_ = sidecar.Wait()
			<-first
			f.startSidecar(endpoint)
			for entry := range 2 {
				status, ran := f.order(entry)
				assert.Check(t, ran != toucanwire.RanNo, "entry %d: %d", entry, status)
			}
			f.awaitOrder()
			assert.Equal(t, len(f.service.Orders()), 1)
		})
	}
}

// awaitOrder waits until the service has processed an order.
func (f *fleet) awaitOrder() {
	f.t.Helper()
	poll.WaitOn(f.t, func(poll.LogT) poll.Result {
		if len(f.service.Orders()) == 0 {
			return poll.Continue("no order yet")
		}
		return poll.Success()
	}, poll.WithTimeout(processTimeout))
}

// TestStreamReaderKeepsBufferedLines checks that a second read of the same body continues after the last returned
// event when several events arrive together.
func TestStreamReaderKeepsBufferedLines(t *testing.T) {
	var body strings.Builder
	for i := range 3 {
		fmt.Fprintf(&body, "id: g:%d\ndata: {\"text\":\" %s\"}\n\n", i, strings.TrimPrefix(toucanfake.TokenText("g", i), " "))
	}
	all := strings.NewReader(body.String())
	r := &streamReader{t: t, id: "g"}
	r.read(all, 1)
	assert.Equal(t, r.next, 1)
	r.read(all, 0)
	assert.Equal(t, r.next, 3)
}
