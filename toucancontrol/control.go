// Package toucancontrol is the control side of an entry: it watches the platform's store for settings, and
// serves operators.
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
	"toucanport/toucanspread"
	"toucanport/toucanstore"
	"toucanport/toucanwatch"
)

// Config says what a control side works with.
type Config struct {
	Store  toucanstore.Store
	Holder *toucanspread.Holder
	// Local tells the state of the entry.
	Local toucanoperate.Local
	// Instance names the entry.
	Instance string
	// Members is what is known of the other entries; nil means none.
	Members Members
	// BootstrapHash lets its credential write the first operators' document; empty for none.
	BootstrapHash string
	// Metrics serves the scrape endpoint; nil means none.
	Metrics http.Handler
	Log     *slog.Logger
	// Transport reaches the other entries; nil means the default.
	Transport http.RoundTripper
}

// Members tells of the other entries.
type Members interface {
	// Entries returns the names of the entries that stay.
	Entries() []string
	// EntryAddresses returns the operators' addresses of the entries that stay but self.
	EntryAddresses(self string) []string
}

// watchersPerDocument is how many entries watch each document; the others learn of changes by heartbeats.
const watchersPerDocument = 3

// assigned reports whether this entry watches a document.
func (c Config) assigned(document string) bool {
	return c.Members == nil || toucanmember.IsResponsible(c.Instance, document, c.Members.Entries(), watchersPerDocument)
}

// entries returns the operators' addresses of the other entries.
func (c Config) entries() []string {
	if c.Members == nil {
		return nil
	}
	return c.Members.EntryAddresses(c.Instance)
}

// Control is the control side of one entry.
type Control struct {
	watcher *toucanwatch.Watcher
	server  *toucanoperate.Server
	// storeAnswers is false while the last call of the store failed.
	storeAnswers atomic.Bool
}

// New returns a control side that does nothing until Run.
func New(cfg Config) *Control {
	c := &Control{}
	c.watcher = toucanwatch.New(cfg.Store, toucanchange.KeyPrefix, cfg.Holder, cfg.Log,
		toucanwatch.WithHealth(c.storeAnswers.Store), toucanwatch.WithAssigned(cfg.assigned))
	c.server = toucanoperate.NewServer(toucanoperate.Config{
		Holder:        cfg.Holder,
		Writer:        toucanchange.New(cfg.Store, cfg.Holder),
		Local:         cfg.Local,
		StoreAnswers:  c.storeAnswers.Load,
		Entries:       cfg.entries,
		BootstrapHash: cfg.BootstrapHash,
		Metrics:       cfg.Metrics,
		Log:           cfg.Log,
		Transport:     cfg.Transport,
	})
	return c
}

// Run watches the store and serves operators from ln until ctx is done.
func (c *Control) Run(ctx context.Context, ln net.Listener) error {
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	wg.Go(func() { c.watcher.Run(ctx) })
	err := c.server.Run(ctx, ln)
	cancel()
	wg.Wait()
	return err
}
