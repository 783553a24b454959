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
	"toucanport/toucanoperate"
	"toucanport/toucanspread"
	"toucanport/toucanstore"
)

// Config says what a control side works with.
type Config struct {
	Store  toucanstore.Store
	Holder *toucanspread.Holder
	// Local tells the state of the entry.
	Local toucanoperate.Local
	// Entries returns the operators' addresses of the other entries; nil means none.
	Entries func() []string
	// BootstrapHash lets its credential write the first operators' document; empty for none.
	BootstrapHash string
	// Metrics serves the scrape endpoint; nil means none.
	Metrics http.Handler
	Log     *slog.Logger
	// Transport reaches the other entries; nil means the default.
	Transport http.RoundTripper
}

// Control is the control side of one entry.
type Control struct {
	watcher *toucanspread.Watcher
	server  *toucanoperate.Server
	// storeAnswers is false while the last call of the store failed.
	storeAnswers atomic.Bool
}

// New returns a control side that does nothing until Run.
func New(cfg Config) *Control {
	c := &Control{}
	c.watcher = toucanspread.NewWatcher(cfg.Store, toucanchange.KeyPrefix, cfg.Holder, cfg.Log,
		toucanspread.WithHealth(c.storeAnswers.Store))
	c.server = toucanoperate.NewServer(toucanoperate.Config{
		Holder:        cfg.Holder,
		Writer:        toucanchange.New(cfg.Store, cfg.Holder),
		Local:         cfg.Local,
		StoreAnswers:  c.storeAnswers.Load,
		Entries:       cfg.Entries,
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
