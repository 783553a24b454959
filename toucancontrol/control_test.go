package toucancontrol_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"runtime"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"toucanport/toucanadmit"
	"toucanport/toucanbubble"
	"toucanport/toucanchange"
	"toucanport/toucanclient"
	"toucanport/toucancontrol"
	"toucanport/toucanentry"
	"toucanport/toucanfakemember"
	"toucanport/toucanfakestore"
	"toucanport/toucanlisting"
	"toucanport/toucanmember"
	"toucanport/toucanoperate"
	"toucanport/toucanreplicate"
	"toucanport/toucanrig"
	"toucanport/toucanroute"
	"toucanport/toucansettings"
	"toucanport/toucansidecar"
	"toucanport/toucanstream"
)

const (
	firstCredential = "first"
	listAddress     = "10.0.0.3:80"
	sidecarCount    = 3
)

func discardLogger() *slog.Logger { return slog.New(slog.NewTextHandler(io.Discard, nil)) }

// fleet runs real entries and sidecars on an in-memory network, with fakes of the store and the instance list.
type fleet struct {
	t       *testing.T
	net     *toucanrig.Network
	store   *toucanfakestore.Memory
	list    *toucanfakemember.List
	wg      sync.WaitGroup
	ctx     context.Context
	holders map[string]*toucanreplicate.Holder
	routers map[string]*spyRouter
	stops   map[string]context.CancelFunc
}

// spyRouter records the endpoints that the last call of SetEndpoints passed.
type spyRouter struct {
	toucanroute.Router
	mu    sync.Mutex
	names []string
}

// SetEndpoints implements toucanroute.Router.
func (r *spyRouter) SetEndpoints(now time.Time, service string, endpoints []toucanroute.Endpoint) {
	r.Router.SetEndpoints(now, service, endpoints)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.names = nil
	for _, e := range endpoints {
		r.names = append(r.names, e.Name)
	}
}

func (r *spyRouter) endpoints() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.names)
}

// withFleet runs test with a fleet under a fake clock. Yamux keeps timers in a global sync.Pool, and a timer of one synctest
// bubble must not be used in another one; two garbage collections empty the pool.
func withFleet(t *testing.T, test func(f *fleet)) {
	runtime.GC()
	runtime.GC()
	toucanbubble.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		f := &fleet{
			t: t, net: toucanrig.NewNetwork(), store: toucanfakestore.New(), list: toucanfakemember.New(2 * time.Second), ctx: ctx,
			holders: make(map[string]*toucanreplicate.Holder), routers: make(map[string]*spyRouter), stops: make(map[string]context.CancelFunc),
		}
		defer func() {
			cancel()
			f.wg.Wait()
		}()
		f.serveList()
		for i := range sidecarCount {
			f.startSidecar(i)
		}
		test(f)
	})
}

func (f *fleet) listen(address string) net.Listener {
	ln, err := f.net.Listen(address)
	assert.NilError(f.t, err)
	return ln
}

func (f *fleet) transport(from string) *http.Transport {
	tr := &http.Transport{DisableKeepAlives: true, DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
		return f.net.Dialer(from)(ctx, address)
	}}
	return tr
}

func (f *fleet) serveList() {
	server := &http.Server{Handler: f.list}
	ln := f.listen(listAddress)
	context.AfterFunc(f.ctx, func() { _ = server.Close() })
	f.wg.Go(func() { _ = server.Serve(ln) })
}

func sidecarAddress(i int) string { return fmt.Sprintf("10.0.1.%d:7000", i+1) }

func (f *fleet) startSidecar(i int) {
	name := fmt.Sprintf("sidecar%d", i)
	f.holders[name] = toucanreplicate.NewHolder()
	s := toucansidecar.New(toucansidecar.Config{
		Instance: name, Endpoint: fmt.Sprintf("laval/e%d", i), Service: "laval/orders", Kind: toucansettings.KindPlain,
		Policy: toucanadmit.NewNaive(toucanadmit.Config{}), Signer: toucanstream.NewSigner(make([]byte, 32)), Replica: f.holders[name],
	}, toucansidecar.WithLogger(discardLogger()))
	ln := f.listen(sidecarAddress(i))
	f.list.Put(f.newListed(name, toucanmember.RoleSidecar, sidecarAddress(i), toucanmember.StateLive))
	f.wg.Go(func() { _ = s.Run(f.ctx, ln) })
}

func (f *fleet) newListed(name, role, address string, state toucanmember.State) toucanmember.Listed {
	return toucanmember.Listed{Instance: name, Role: role, Address: address, FailureDomain: "qc-east-a", State: state}
}

func operatorAddress(i int) string { return fmt.Sprintf("10.0.0.%d:8081", 10+i) }

// startEntry starts entry i with its control side and adds it to the instance list.
func (f *fleet) startEntry(i int) {
	name, from := fmt.Sprintf("entry%d", i), fmt.Sprintf("10.0.0.%d", 10+i)
	ctx, stop := context.WithCancel(f.ctx)
	f.stops[name] = stop
	holder := toucanreplicate.NewHolder()
	f.holders[name] = holder
	f.routers[name] = &spyRouter{Router: toucanroute.NewNaive()}
	members := toucanlisting.NewView(toucanlisting.New("http://"+listAddress, toucanlisting.WithTransport(f.transport(from))))
	entry := toucanentry.New(toucanentry.Config{
		Instance: name, Replica: holder, Members: members, Signer: toucanstream.NewSigner(make([]byte, 32)),
		Dial: f.net.Dialer(from), Router: f.routers[name],
	}, toucanentry.WithLogger(discardLogger()))
	control := toucancontrol.New(toucancontrol.Config{
		Store: f.store, Holder: holder, Instance: name, Members: members, Local: entry,
		BootstrapHash: toucansettings.HashKey(firstCredential), Log: discardLogger(), Transport: f.transport(from),
	})
	callers, operators := f.listen(from+":8080"), f.listen(operatorAddress(i))
	f.list.Put(f.newListed(name, toucanmember.RoleEntry, operatorAddress(i), toucanmember.StateLive))
	f.wg.Go(func() { members.Run(ctx) })
	f.wg.Go(func() { _ = entry.Run(ctx, callers) })
	f.wg.Go(func() { _ = control.Run(ctx, operators) })
}

func (f *fleet) stopEntry(i int) {
	name := fmt.Sprintf("entry%d", i)
	f.stops[name]()
	delete(f.holders, name)
}

func (f *fleet) client(i int, credential string) *toucanclient.Client {
	return toucanclient.New(operatorAddress(i), credential, toucanclient.WithTransport(f.transport("10.0.9.9")))
}

// writeSettings writes the operators' document and the team's document through entry 0.
func (f *fleet) writeSettings() {
	ctx := context.Background()
	grant := fmt.Sprintf("credentialHashes = [%q]\n", toucansettings.HashKey("ann"))
	_, err := f.client(0, firstCredential).Change(ctx, toucanoperate.Change{
		ID: "operators", Document: toucansettings.OperatorsPath,
		Edits: []toucanoperate.Edit{
			{Path: "/operators/operators/ann", Operation: "replace", Body: grant},
			{Path: "/operators/teams/laval", Operation: "replace", Body: "credentialHashes = []\n"},
		},
	})
	assert.NilError(f.t, err)
	var edits []toucanoperate.Edit
	for i := range sidecarCount {
		body := fmt.Sprintf("service = \"orders\"\naddress = %q\nfailureDomain = \"qc-east-a\"\n", netip.MustParseAddrPort(sidecarAddress(i)))
		edits = append(edits, toucanoperate.Edit{Path: fmt.Sprintf("/teams/laval/endpoints/e%d", i), Operation: "replace", Body: body})
	}
	edits = append(edits, toucanoperate.Edit{Path: "/teams/laval/services/orders", Operation: "replace", Body: "kind = \"plain\"\n"})
	f.change(0, "team", 0, edits)
}

func (f *fleet) change(entry int, id string, base uint64, edits []toucanoperate.Edit) {
	_, err := f.client(entry, "ann").Change(context.Background(), toucanoperate.Change{
		ID: id, Document: "/teams/laval", Base: base, Edits: edits,
	})
	assert.NilError(f.t, err)
}

// weightEdit returns an edit that sets the weight of a workspace.
func weightEdit(n int) []toucanoperate.Edit {
	body := fmt.Sprintf("services = [\"orders\"]\nweight = %d\n", n)
	return []toucanoperate.Edit{{Path: "/teams/laval/workspaces/dealers", Operation: "replace", Body: body}}
}

// assertInForce asserts that every running instance has at least the revision of the team's document within bound.
func (f *fleet) assertInForce(revision uint64, bound time.Duration) {
	f.t.Helper()
	start := time.Now()
	for time.Since(start) <= bound {
		behind := 0
		for _, h := range f.holders {
			if h.RevisionOf("/teams/laval") < revision {
				behind++
			}
		}
		if behind == 0 {
			f.t.Logf("revision %d in force on %d instances after %s", revision, len(f.holders), time.Since(start).Round(time.Millisecond))
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	f.t.Fatalf("revision %d is not in force everywhere after %s", revision, bound)
}

func TestChangesAreInForceOnEveryInstance(t *testing.T) {
	withFleet(t, func(f *fleet) {
		f.startEntry(0)
		f.startEntry(1)
		f.writeSettings()
		f.assertInForce(1, 3*time.Second)
		f.change(1, "w1", 1, weightEdit(2))
		f.assertInForce(2, 3*time.Second)
		f.change(0, "w2", 2, weightEdit(3))
		f.store.SetFaults(toucanfakestore.Faults{Down: true})
		f.assertInForce(3, 8*time.Second)
		_, err := f.client(0, "ann").Change(context.Background(), toucanoperate.Change{ID: "w3", Document: "/teams/laval", Base: 3, Edits: weightEdit(4)})
		assert.ErrorIs(t, err, toucanchange.ErrStoreDown)
		time.Sleep(10 * time.Second)
		fleet, err := f.client(1, "ann").Fleet(context.Background())
		assert.NilError(t, err)
		assert.Equal(t, len(fleet.Instances), 2+sidecarCount)
		assert.Equal(t, len(fleet.Lagging("")), 0)
		assert.Assert(t, !fleet.StoreAnswers)
	})
}

func TestEntryStartedInStoreOutageGetsSettingsFromSidecars(t *testing.T) {
	withFleet(t, func(f *fleet) {
		f.startEntry(0)
		f.writeSettings()
		f.assertInForce(1, 3*time.Second)
		time.Sleep(5 * time.Second)
		f.store.SetFaults(toucanfakestore.Faults{Down: true})
		f.stopEntry(0)
		time.Sleep(time.Hour)
		f.startEntry(1)
		f.assertInForce(1, 8*time.Second)
		time.Sleep(time.Second)
		assert.Equal(t, f.routers["entry1"].endpoints(), sidecarCount)
	})
}

// TestInstanceListedAsLeavingGetsNoNewWork checks that an endpoint gets no new work later than 3 s after the list shows
// its instance as leaving. The list shows changes after 2 s.
func TestInstanceListedAsLeavingGetsNoNewWork(t *testing.T) {
	withFleet(t, func(f *fleet) {
		f.startEntry(0)
		f.writeSettings()
		time.Sleep(10 * time.Second)
		assert.Equal(t, f.routers["entry0"].endpoints(), sidecarCount)
		f.list.Put(f.newListed("sidecar0", toucanmember.RoleSidecar, sidecarAddress(0), toucanmember.StateLeaving))
		time.Sleep(2*time.Second + 3*time.Second)
		assert.Equal(t, f.routers["entry0"].endpoints(), sidecarCount-1)
	})
}

func TestDrainedEndpointGetsNoNewWork(t *testing.T) {
	withFleet(t, func(f *fleet) {
		f.startEntry(0)
		f.startEntry(1)
		f.writeSettings()
		time.Sleep(10 * time.Second)
		f.change(0, "drain", 1, []toucanoperate.Edit{{Path: "/teams/laval/endpoints/e1", Operation: "merge", Body: "draining = true\n"}})
		time.Sleep(3 * time.Second)
		assert.Equal(t, f.routers["entry0"].endpoints(), sidecarCount-1)
		assert.Equal(t, f.routers["entry1"].endpoints(), sidecarCount-1)
	})
}
