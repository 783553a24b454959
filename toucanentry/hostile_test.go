package toucanentry_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protodelim"
	"gotest.tools/v3/assert"

	"toucanport/toucanentry"
	"toucanport/toucanroute"
	"toucanport/toucanstream"
	"toucanport/toucanwire"
)

const (
	hostileAddr = "10.0.6.6"
	mebibyte    = 1 << 20
)

func (p *deployment) connect(t *testing.T, address string) net.Conn {
	t.Helper()
	conn, err := p.net.Dialer(hostileAddr)(context.Background(), address)
	assert.NilError(t, err)
	return conn
}

// assertServes checks that a request of another workspace is answered completely.
func (p *deployment) assertServes(t *testing.T) {
	t.Helper()
	resp := p.do(t, http.MethodPost, "/v1/completions", otherKey, fmt.Sprintf(streamBody, 20))
	defer resp.Body.Close()
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	checkStream(t, resp.Body, resp.Header.Get("Toucan-Generation-Id"), 0, 20)
}

// answerTo sends a raw request and returns the status and body of the answer.
func answerTo(t *testing.T, conn net.Conn, raw string) (int, string) {
	t.Helper()
	go func() { _, _ = io.WriteString(conn, raw) }()
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	return resp.StatusCode, string(body)
}

func rawPost(headers string) string {
	return "POST /v1/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer " + testKey + "\r\n" + headers + "\r\n"
}

// TestStreamOutlivesTheBodyTimeout checks that the limit on the arrival of a body does not apply to the answer.
func TestStreamOutlivesTheBodyTimeout(t *testing.T) {
	withFakeClock(t, func(t *testing.T) {
		p := startDeployment(t)
		defer p.stop()
		begun := time.Now()
		resp := p.do(t, http.MethodPost, "/v1/completions", testKey, fmt.Sprintf(streamBody, 6000))
		defer resp.Body.Close()
		checkStream(t, resp.Body, resp.Header.Get("Toucan-Generation-Id"), 0, 6000)
		assert.Assert(t, time.Since(begun) > 40*time.Second)
	})
}

func TestSlowHeadersAreCutOff(t *testing.T) {
	withFakeClock(t, func(t *testing.T) {
		p := startDeployment(t)
		defer p.stop()
		conn := p.connect(t, entryAddr)
		defer conn.Close()
		begun := time.Now()
		var wg sync.WaitGroup
		wg.Go(func() {
			for {
				if _, err := io.WriteString(conn, "G"); err != nil {
					return
				}
				time.Sleep(time.Second)
			}
		})
		_, _ = io.Copy(io.Discard, conn)
		assert.Assert(t, time.Since(begun) < 6*time.Second)
		wg.Wait()
		p.assertServes(t)
	})
}

func TestLargeHeadersAreRefused(t *testing.T) {
	withFakeClock(t, func(t *testing.T) {
		p := startDeployment(t)
		defer p.stop()
		conn := p.connect(t, entryAddr)
		defer conn.Close()
		status, _ := answerTo(t, conn, rawPost("X: "+strings.Repeat("x", 64<<10)+"\r\n"))
		assert.Equal(t, status, http.StatusRequestHeaderFieldsTooLarge)
		p.assertServes(t)
	})
}

// TestHeadersOfAllCallersAreBounded guards against callers whose headers of many short lines, each within its limit, take the memory of
// the entry together.
func TestHeadersOfAllCallersAreBounded(t *testing.T) {
	const callers, headerBytes, most = 150, 30 << 10, 64 * mebibyte
	withFakeClock(t, func(t *testing.T) {
		p := startDeployment(t)
		defer p.stop()
		text := rawPost("")
		text = text[:len(text)-len("\r\n")]
		for i := 0; len(text) < headerBytes; i++ {
			text += fmt.Sprintf("%d:\n", i)
		}
		for range callers {
			conn := p.connect(t, entryAddr)
			defer conn.Close()
			go func() { _, _ = io.WriteString(conn, text) }() // The entry may close the connection.
		}
		synctest.Wait()
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		assert.Check(t, m.HeapAlloc < most, "%d MB are in use", m.HeapAlloc/mebibyte)
		p.assertServes(t)
	})
}

func TestSlowBodyTimesOut(t *testing.T) {
	withFakeClock(t, func(t *testing.T) {
		p := startDeployment(t)
		defer p.stop()
		conn := p.connect(t, entryAddr)
		defer conn.Close()
		status, body := answerTo(t, conn, rawPost("Content-Length: 100\r\n")+"{")
		assert.Equal(t, status, http.StatusRequestTimeout)
		assert.Assert(t, strings.Contains(body, `"bodyTimeout"`) && strings.Contains(body, `"ran":"no"`), body)
		p.assertServes(t)
	})
}

func TestHugeAndEndlessBodiesAreRefused(t *testing.T) {
	withFakeClock(t, func(t *testing.T) {
		p := startDeployment(t)
		defer p.stop()
		for name, body := range map[string]io.Reader{
			"huge":    strings.NewReader(strings.Repeat(" ", 5*mebibyte)),
			"endless": endless{},
		} {
			req, err := http.NewRequest(http.MethodPost, "http://"+entryAddr+"/v1/completions", body)
			assert.NilError(t, err)
			req.Header.Set("Authorization", "Bearer "+testKey)
			resp, err := p.client.Do(req)
			assert.NilError(t, err, name)
			resp.Body.Close()
			assert.Equal(t, resp.StatusCode, http.StatusRequestEntityTooLarge, name)
		}
		p.assertServes(t)
	})
}

type endless struct{}

func (endless) Read(b []byte) (int, error) {
	for i := range b {
		b[i] = ' '
	}
	return len(b), nil
}

// TestBodiesOfOneWorkspaceAreBounded sends more bytes for a workspace than its limit, in bodies that never end. The
// surplus must be refused immediately, and other workspaces must be served.
func TestBodiesOfOneWorkspaceAreBounded(t *testing.T) {
	withFakeClock(t, func(t *testing.T) {
		p := startDeployment(t)
		defer p.stop()
		const each, callers = 3 * mebibyte, 8
		statuses := make(chan int, callers)
		for range callers {
			conn := p.connect(t, entryAddr)
			defer conn.Close()
			go func() {
				status, _ := answerTo(t, conn, rawPost(fmt.Sprintf("Content-Length: %d\r\n", each+1))+strings.Repeat(" ", each))
				statuses <- status
			}()
		}
		time.Sleep(10 * time.Second)
		p.assertServes(t)
		counts := make(map[int]int)
		for range callers {
			counts[<-statuses]++
		}
		// Bodies that arrive concurrently can reach the limit together, so more than the surplus can be refused.
		assert.Equal(t, counts[http.StatusServiceUnavailable]+counts[http.StatusRequestTimeout], callers)
		assert.Assert(t, counts[http.StatusServiceUnavailable] >= 3, "%v", counts)
	})
}

// TestStalledCallerDoesNotBlockOthers stops reading a long answer. Other callers must be served, and the answer must be
// cut off.
func TestStalledCallerDoesNotBlockOthers(t *testing.T) {
	withFakeClock(t, func(t *testing.T) {
		p := startDeployment(t)
		defer p.stop()
		resp := p.do(t, http.MethodPost, "/v1/completions", testKey, fmt.Sprintf(streamBody, 20000))
		defer resp.Body.Close()
		time.Sleep(5 * time.Minute)
		p.assertServes(t)
		_, err := io.Copy(io.Discard, resp.Body)
		assert.Assert(t, errors.Is(err, io.ErrUnexpectedEOF), "%v", err)
	})
}

// TestBadPeersAreRefused connects peers to a sidecar that send garbage, an unsupported version or nothing, while a
// request is streamed.
func TestBadPeersAreRefused(t *testing.T) {
	withFakeClock(t, func(t *testing.T) {
		p := startDeployment(t)
		defer p.stop()
		var wg sync.WaitGroup
		for _, attack := range []func(net.Conn){
			func(conn net.Conn) { _, _ = conn.Write([]byte("GET / HTTP/1.1\r\n\r\n")) },
			func(conn net.Conn) { _, _ = protodelim.MarshalTo(conn, &toucanwire.Hello{Version: 99}) },
			func(conn net.Conn) {
				_, _ = protodelim.MarshalTo(conn, &toucanwire.Hello{Version: toucanwire.Version})
				_, _ = conn.Write([]byte(strings.Repeat("no frame", 100)))
			},
			func(net.Conn) {},
		} {
			wg.Go(func() {
				conn := p.connect(t, sidecarAddr)
				defer conn.Close()
				go attack(conn)
				begun := time.Now()
				_, _ = io.Copy(io.Discard, conn)
				assert.Check(t, time.Since(begun) < 6*time.Second)
			})
		}
		p.assertServes(t)
		wg.Wait()
		p.assertServes(t)
	})
}

// TestBadRequestFromPeerEndsOnlyItsStream sends messages without a request or with an invalid generation id.
func TestBadRequestFromPeerEndsOnlyItsStream(t *testing.T) {
	withFakeClock(t, func(t *testing.T) {
		p := startDeployment(t)
		defer p.stop()
		link, err := toucanwire.Dial(context.Background(), p.connect(t, sidecarAddr), &toucanwire.Hello{Role: "entry"})
		assert.NilError(t, err)
		defer link.Close()
		for _, open := range []*toucanwire.Open{
			{},
			{Request: &toucanwire.Open_Generate{Generate: &toucanwire.Generate{GenerationId: "forged", Workspace: "poteaux/office"}}},
			{Request: &toucanwire.Open_Resume{Resume: &toucanwire.Resume{NextIndex: 1 << 31}}},
			{Request: &toucanwire.Open_Cancel{Cancel: &toucanwire.Cancel{}}},
		} {
			stream, err := link.Open(open)
			assert.NilError(t, err)
			event := &toucanwire.Event{}
			if err := stream.Receive(event); err == nil {
				assert.Assert(t, event.GetRefusal() != nil, "%v", event)
			}
			stream.Close()
		}
		p.assertServes(t)
		assert.Equal(t, len(p.ledger.Generations()), 1)
	})
}

// TestIdleConnectionsAreClosedAtLimit opens 10,000 real connections that send nothing. The entry must keep to its
// limit and still serve a new caller.
func TestIdleConnectionsAreClosedAtLimit(t *testing.T) {
	const idle, bound = 10_000, 500
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	entry := toucanentry.New(toucanentry.Config{
		Settings: fixedSettings{testTree()}, Signer: toucanstream.NewSigner([]byte(testSecret)),
		Dial:   func(context.Context, string) (net.Conn, error) { return nil, errors.New("no sidecar") },
		Router: toucanroute.NewNaive(),
	}, toucanentry.WithLogger(discardLogger()), toucanentry.WithConnections(bound))
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = entry.Run(ctx, ln)
	}()
	defer func() {
		cancel()
		<-done
	}()
	conns := make([]net.Conn, 0, idle)
	for range idle {
		conn, err := net.Dial("tcp", ln.Addr().String())
		assert.NilError(t, err)
		defer conn.Close()
		conns = append(conns, conn)
	}
	req, err := http.NewRequest(http.MethodGet, "http://"+ln.Addr().String()+"/v1/models", nil)
	assert.NilError(t, err)
	req.Header.Set("Authorization", "Bearer "+testKey)
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	resp, err := client.Do(req)
	assert.NilError(t, err)
	resp.Body.Close()
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	// The entry has closed all but the newest connections, so reading from the others fails.
	for _, conn := range conns[:idle-bound] {
		_, err := conn.Read(make([]byte, 1))
		assert.Assert(t, err != nil)
	}
}
