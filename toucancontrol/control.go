// Package toucancontrol implements the control side of an entry: it watches the platform's store for changes of the
// settings and serves the operators' interface.
package toucancontrol

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"

	"toucanport/toucanchange"
	"toucanport/toucanmember"
	"toucanport/toucanoperate"
	"toucanport/toucanreplicate"
	"toucanport/toucanstore"
	"toucanport/toucanwatch"
)

// Config configures a Control.
type Config struct {
	Store  toucanstore.Store
	Holder *toucanreplicate.Holder
	// Local returns the status of the entry and of its linked sidecars.
	Local toucanoperate.StatusSource
	// Instance is the name of the entry's instance.
	Instance string
	// Members lists the entries; nil means that this entry is the only one.
	Members Members
	// BootstrapHash is the hash of the credential that is allowed to write the first operators' document; empty for
	// none.
	BootstrapHash string
	// Metrics handles the scrape path of the operators' interface; nil disables it.
	Metrics http.Handler
	// Preview handles questions where a request would go now; nil disables them.
	Preview http.Handler
	Log     *slog.Logger
	// Transport sends requests to the other entries; nil means http.DefaultTransport.
	Transport http.RoundTripper
}

// Members lists the entries. It must be safe for concurrent use.
type Members interface {
	// Entries returns the names of the live entries that are not draining.
	Entries() []string
	// EntryAddresses returns the addresses of the operators' listeners of the live entries that are not draining,
	// except the entry named self.
	EntryAddresses(self string) []string
}

// watchersPerDocument is the number of entries that watch each document in the store; the other entries receive changes
// with heartbeats.
const watchersPerDocument = 3

// isWatcher reports whether this entry watches a document in the store.
func (c Config) isWatcher(document string) bool {
	return c.Members == nil || toucanmember.IsResponsible(c.Instance, document, c.Members.Entries(), watchersPerDocument)
}

// otherEntries returns the addresses of the other entries' operators' listeners.
func (c Config) otherEntries() []string {
	if c.Members == nil {
		return nil
	}
	return c.Members.EntryAddresses(c.Instance)
}

// Control is the control side of one entry.
type Control struct {
	watcher *toucanwatch.Watcher
	server  *toucanoperate.Server
	// storeAnswers reports whether the watcher's latest call to the store succeeded; false before the first call.
	storeAnswers atomic.Bool
}

// New returns a Control, which does nothing until Run is called.
func New(cfg Config) *Control {
	c := &Control{}
	c.watcher = toucanwatch.New(cfg.Store, toucanchange.KeyPrefix, cfg.Holder, cfg.Log,
		toucanwatch.WithAnswerCallback(c.storeAnswers.Store), toucanwatch.WithAssigned(cfg.isWatcher))
	c.server = toucanoperate.NewServer(toucanoperate.Config{
		Holder:        cfg.Holder,
		Writer:        toucanchange.New(cfg.Store, cfg.Holder),
		Local:         cfg.Local,
		StoreAnswers:  c.storeAnswers.Load,
		Entries:       cfg.otherEntries,
		BootstrapHash: cfg.BootstrapHash,
		Metrics:       cfg.Metrics,
		Preview:       cfg.Preview,
		Log:           cfg.Log,
		Transport:     cfg.Transport,
	})
	return c
}

// Run watches the store and serves operators from ln until ctx is done or serving fails.
func (c *Control) Run(ctx context.Context, ln net.Listener) error {
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	wg.Go(func() { c.watcher.Run(ctx) })
	err := c.server.Run(ctx, ln)
	cancel()
	wg.Wait()
	return err
}
