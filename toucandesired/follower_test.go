package toucandesired_test

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"toucanport/toucanbubble"
	"toucanport/toucandesired"
	"toucanport/toucanengine"
	"toucanport/toucanfakestore"
	"toucanport/toucanfence"
	"toucanport/toucansettings"
)

// settings holds a settings tree that the test replaces.
type settings struct {
	mu      sync.Mutex
	tree    *toucansettings.Tree
	changed chan struct{}
}

func (s *settings) Tree() *toucansettings.Tree {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tree
}

func (s *settings) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

func (s *settings) set(version string, adapters []string, role string) {
	tree := toucansettings.NewTree([]toucansettings.Team{{
		Name: "t",
		Services: []toucansettings.Service{{
			Name: "assistant", Team: "t", Kind: toucansettings.KindGeneration, Model: "m", Version: version, Adapters: adapters,
		}},
		Endpoints: []toucansettings.Endpoint{{Name: "e1", Team: "t", Service: "assistant", Role: role}},
	}})
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tree = tree
	if s.changed != nil {
		close(s.changed)
	}
	s.changed = make(chan struct{})
}

// engine records the orders that it executes.
type engine struct {
	mu     sync.Mutex
	orders []string
}

func (e *engine) Order(_ context.Context, o toucanengine.Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.orders = append(e.orders, string(o.Kind)+" "+o.Argument)
	return nil
}

func (e *engine) executed() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]string(nil), e.orders...)
}

// startFollower starts a follower with the given boot id of its sidecar and returns a function that stops it.
func startFollower(s *settings, store *toucanfakestore.Memory, e *engine, boot string) (stop func()) {
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	f := toucandesired.NewFollower(s, store, "t/e1", func(bool) toucandesired.Holder {
		return toucanfence.New(store, e, "t/e1", boot, toucanfence.WithLogger(log))
	}, log)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.Run(ctx)
	}()
	return func() {
		cancel()
		<-done
	}
}

// convergenceTime is longer than the lease's TTL, the spread of loads and their retries together.
const convergenceTime = 20 * time.Minute

func TestFollowerSendsEachMissingOrderOnce(t *testing.T) {
	toucanbubble.Test(t, func(t *testing.T) {
		s, store, e := &settings{}, toucanfakestore.New(), &engine{}
		s.set("1", []string{"fr"}, "decode")
		stop := startFollower(s, store, e, "boot1")
		time.Sleep(convergenceTime)
		assert.DeepEqual(t, e.executed(), []string{"loadModel m@1", "loadAdapter fr", "setRole decode"})

		// A replaced sidecar reads the executed orders and sends none again.
		stop()
		stop = startFollower(s, store, e, "boot2")
		time.Sleep(convergenceTime)
		assert.Equal(t, len(e.executed()), 3)

		// A new version unloads the adapters, so they are loaded again. The role is unchanged.
		s.set("2", []string{"fr"}, "decode")
		time.Sleep(convergenceTime)
		assert.DeepEqual(t, e.executed()[3:], []string{"loadModel m@2", "loadAdapter fr"})
		stop()
	})
}

func TestFollowerSendsOrdersAfterStoreOutage(t *testing.T) {
	toucanbubble.Test(t, func(t *testing.T) {
		s, store, e := &settings{}, toucanfakestore.New(), &engine{}
		s.set("1", nil, "")
		store.SetFaults(toucanfakestore.Faults{Down: true})
		stop := startFollower(s, store, e, "boot1")
		time.Sleep(time.Minute)
		assert.Equal(t, len(e.executed()), 0)
		store.SetFaults(toucanfakestore.Faults{})
		time.Sleep(convergenceTime)
		assert.DeepEqual(t, e.executed(), []string{"loadModel m@1"})
		stop()
	})
}

func TestFollowerReadsStoreOnlyWhenDesiredOrdersChange(t *testing.T) {
	toucanbubble.Test(t, func(t *testing.T) {
		s, store, e := &settings{}, toucanfakestore.New(), &engine{}
		s.set("", nil, "")
		stop := startFollower(s, store, e, "boot1")
		for range 100 {
			s.set("", nil, "")
			time.Sleep(time.Second)
		}
		assert.Equal(t, store.Counts().Reads, int64(0))
		stop()
	})
}
