package toucansidecar_test

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"runtime"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"toucanport/toucanbubble"
	"toucanport/toucanfakeservice"
	"toucanport/toucanfakestore"
	"toucanport/toucanorder"
	"toucanport/toucanrig"
	"toucanport/toucansettings"
	"toucanport/toucansidecar"
	"toucanport/toucanwire"
)

const applicationAddr = "10.0.2.1:8080"

var sidecarAddrs = []string{"10.0.1.1:7000", "10.0.1.2:7000"}

// orderFixture consists of two sidecars with a common store and one application instance, which records the orders that it
// executed.
type orderFixture struct {
	t       *testing.T
	net     *toucanrig.Network
	store   *toucanfakestore.Memory
	service *toucanfakeservice.Service
	server  *http.Server
	wg      sync.WaitGroup
	links   []*toucanwire.Link
	// sidecars are in the order of sidecarAddrs, as are claims and ends, which end the sidecars.
	sidecars []*toucansidecar.Sidecar
	ends     []context.CancelFunc
	claims   []*toucanorder.Claims
}

func withOrderFixture(t *testing.T, f func(r *orderFixture)) {
	t.Helper()
	// Yamux keeps timers in a process-wide pool, and a timer of one bubble must not be used in another. Two garbage
	// collections empty the pool.
	runtime.GC()
	runtime.GC()
	toucanbubble.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		r := &orderFixture{t: t, net: toucanrig.NewNetwork(), store: toucanfakestore.New(), service: toucanfakeservice.New()}
		r.startService()
		var transports []*http.Transport
		for _, address := range sidecarAddrs {
			transport := &http.Transport{DialContext: func(ctx context.Context, _, to string) (net.Conn, error) {
				return r.net.Dialer(address)(ctx, to)
			}}
			c := toucanorder.New(r.store)
			transports, r.claims = append(transports, transport), append(r.claims, c)
			r.startSidecar(ctx, address, transport, c)
		}
		f(r)
		for _, l := range r.links {
			l.Close()
		}
		for i, c := range r.claims {
			_ = c.Close(ctx)
			transports[i].CloseIdleConnections()
		}
		cancel()
		r.stopService()
		r.wg.Wait()
		time.Sleep(time.Second)
	})
}

func (r *orderFixture) startService() {
	ln, err := r.net.Listen(applicationAddr)
	assert.NilError(r.t, err)
	r.server = &http.Server{Handler: r.service, ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelError)}
	r.wg.Go(func() { _ = r.server.Serve(ln) })
}

func (r *orderFixture) stopService() { _ = r.server.Close() }

func (r *orderFixture) startSidecar(ctx context.Context, address string, transport http.RoundTripper, c *toucanorder.Claims) {
	ln, err := r.net.Listen(address)
	assert.NilError(r.t, err)
	sidecar := toucansidecar.New(toucansidecar.Config{
		Instance: address, Endpoint: "totora/" + address, Service: "totora/workshop", Kind: toucansettings.KindPlain,
		ServiceURL: "http://" + applicationAddr, ServiceTransport: transport, Orders: c,
	}, toucansidecar.WithLogger(slog.New(slog.NewTextHandler(io.Discard, nil))))
	r.sidecars = append(r.sidecars, sidecar)
	runCtx, end := context.WithCancel(ctx)
	r.ends = append(r.ends, end)
	r.wg.Go(func() { _ = sidecar.Run(runCtx, ln) })
	conn, err := r.net.Dialer("10.0.0.1")(ctx, address)
	assert.NilError(r.t, err)
	link, err := toucanwire.Dial(ctx, conn, &toucanwire.Hello{Version: 1, Role: "entry", Instance: "n1"})
	assert.NilError(r.t, err)
	r.links = append(r.links, link)
}

// call sends one call through a sidecar and returns the first event of the answer.
func (r *orderFixture) call(sidecar int, method, key, body string) *toucanwire.Event {
	r.t.Helper()
	call := &toucanwire.Call{
		Workspace: "totora/shop", Service: "totora/workshop", Method: method, Path: "/cuts", Body: []byte(body),
		IdempotencyKey: key, DeadlineUnixMillis: time.Now().Add(10 * time.Second).UnixMilli(),
	}
	if key != "" {
		call.Headers = []*toucanwire.Header{{Name: "Idempotency-Key", Values: []string{key}}}
	}
	stream, err := r.links[sidecar].Open(&toucanwire.Open{Request: &toucanwire.Open_Call{Call: call}})
	assert.NilError(r.t, err)
	defer stream.Close()
	event := &toucanwire.Event{}
	assert.NilError(r.t, stream.Receive(event))
	stream.Close() // An entry closes a stream once it has the answer.
	time.Sleep(time.Second)
	return event
}

func (r *orderFixture) assertRefused(e *toucanwire.Event, code, ran string) {
	r.t.Helper()
	assert.Equal(r.t, e.GetRefusal().GetCode(), code)
	assert.Equal(r.t, e.GetRefusal().GetRan(), ran)
}

func (r *orderFixture) assertExecuted(n int) {
	r.t.Helper()
	assert.Equal(r.t, len(r.service.Orders()), n)
}

func TestRepeatThroughAnotherSidecarGetsFirstAnswer(t *testing.T) {
	withOrderFixture(t, func(r *orderFixture) {
		first := r.call(0, http.MethodPost, "k1", "two panels").GetResponse()
		assert.Equal(t, first.GetStatus(), uint32(http.StatusCreated))
		assert.Assert(t, !first.Replayed)
		again := r.call(1, http.MethodPost, "k1", "two panels").GetResponse()
		assert.Assert(t, again.GetReplayed())
		assert.Equal(t, string(again.Body), string(first.Body))
		assert.Equal(t, again.Status, first.Status)
		r.assertRefused(r.call(1, http.MethodPost, "k1", "three panels"), toucanwire.CodeKeyReused, toucanwire.RanNo)
		assert.Equal(t, r.service.Orders()[0].Key, "k1")
		r.assertExecuted(1)
	})
}

func TestOrderWithLostAnswerIsNeverSentAgain(t *testing.T) {
	for _, tc := range []struct{ name, key, body string }{
		{"keyed", "k1", "two panels"},
		{"keyed without a body", "k1", ""},
		{"without a key", "", "two panels"},
		{"without a key and a body", "", ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			withOrderFixture(t, func(r *orderFixture) {
				// The second call reuses the connection of the first. A transport can then send a request twice.
				assert.Assert(t, r.call(0, http.MethodPost, "k0", "").GetResponse() != nil)
				r.service.SetFaults(toucanfakeservice.Faults{LoseReplies: true})
				r.assertRefused(r.call(0, http.MethodPost, tc.key, tc.body), toucanwire.CodeEndpointFailed, toucanwire.RanUnknown)
				r.assertExecuted(2)
				r.service.SetFaults(toucanfakeservice.Faults{})
				if tc.key == "" {
					return
				}
				r.assertRefused(r.call(1, http.MethodPost, tc.key, tc.body), toucanwire.CodeOrderUnknown, toucanwire.RanUnknown)
				r.assertExecuted(2)
			})
		})
	}
}

func TestOrderInProgressIsNotSentAgain(t *testing.T) {
	withOrderFixture(t, func(r *orderFixture) {
		r.service.SetFaults(toucanfakeservice.Faults{Delay: 3 * time.Second})
		done := make(chan *toucanwire.Event, 1)
		go func() { done <- r.call(0, http.MethodPost, "k1", "two panels") }()
		time.Sleep(time.Second)
		refused := r.call(1, http.MethodPost, "k1", "two panels")
		r.assertRefused(refused, toucanwire.CodeOrderInProgress, toucanwire.RanUnknown)
		assert.Assert(t, refused.GetRefusal().RetryAfterMillis > 0)
		assert.Assert(t, (<-done).GetResponse() != nil)
		assert.Assert(t, r.call(1, http.MethodPost, "k1", "two panels").GetResponse().GetReplayed())
		r.assertExecuted(1)
	})
}

func TestStoreOutageRefusesOrders(t *testing.T) {
	withOrderFixture(t, func(r *orderFixture) {
		r.store.SetFaults(toucanfakestore.Faults{Down: true})
		refused := r.call(0, http.MethodPost, "k1", "two panels")
		r.assertRefused(refused, toucanwire.CodeStoreUnavailable, toucanwire.RanNo)
		assert.Assert(t, refused.GetRefusal().Retryable)
		r.assertExecuted(0)
		assert.Assert(t, r.call(0, http.MethodGet, "", "").GetResponse() != nil, "reads need no store")
		r.store.SetFaults(toucanfakestore.Faults{})
		time.Sleep(5 * time.Second)
		assert.Assert(t, r.call(1, http.MethodPost, "k1", "two panels").GetResponse() != nil)
		r.assertExecuted(2)
	})
}

func TestUnreachableEndpointReleasesTheKey(t *testing.T) {
	withOrderFixture(t, func(r *orderFixture) {
		r.stopService()
		r.assertRefused(r.call(0, http.MethodPost, "k1", "two panels"), toucanwire.CodeEndpointFailed, toucanwire.RanNo)
		r.startService()
		assert.Assert(t, r.call(1, http.MethodPost, "k1", "two panels").GetResponse() != nil)
		r.assertExecuted(1)
	})
}

func TestOrderThatOutlastsAStopIsAnsweredAndRecorded(t *testing.T) {
	withOrderFixture(t, func(r *orderFixture) {
		const grace = 5 * time.Second
		r.service.SetFaults(toucanfakeservice.Faults{Delay: 2 * grace})
		defer time.Sleep(3 * grace) // The service ends what it has begun.
		ctx, cancel := context.WithTimeout(context.Background(), grace)
		defer cancel()
		stopped := make(chan error, 1)
		time.AfterFunc(time.Second, func() {
			err := r.sidecars[0].Shutdown(ctx)
			_ = r.claims[0].Close(ctx) // The order that is made again tells.
			stopped <- err
		})
		r.assertRefused(r.call(0, http.MethodPost, "k1", "two panels"), toucanwire.CodeEndpointFailed, toucanwire.RanUnknown)
		assert.NilError(t, <-stopped)
		r.assertRefused(r.call(1, http.MethodPost, "k1", "two panels"), toucanwire.CodeOrderUnknown, toucanwire.RanUnknown)
	})
}

func TestCallOnItsWayToASidecarThatStopsIsRefusedAsNotRun(t *testing.T) {
	withOrderFixture(t, func(r *orderFixture) {
		r.net.Set(toucanrig.LinkName{From: "10.0.0.1", To: sidecarAddrs[0]}, toucanrig.LinkState{Delay: 50 * time.Millisecond})
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		stopped := make(chan error, 1)
		time.AfterFunc(10*time.Millisecond, func() {
			stopped <- r.sidecars[0].Shutdown(ctx)
			r.ends[0]()
		})
		r.assertRefused(r.call(0, http.MethodPost, "", "two panels"), toucanwire.CodeLeaving, toucanwire.RanNo)
		assert.NilError(t, <-stopped)
		r.assertExecuted(0)
	})
}
