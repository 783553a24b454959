package toucanload

import (
	"context"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"
)

// RunBatch sends n requests, at most limit at once, each as soon as there is room for it.
func RunBatch(ctx context.Context, cfg Config, n, limit int) Report {
	client := &http.Client{Transport: cfg.Transport}
	rec := newRecorder()
	var group errgroup.Group
	group.SetLimit(limit)
	for i := range n {
		group.Go(func() error {
			request(ctx, client, cfg, i, time.Now(), rec)
			return nil
		})
	}
	_ = group.Wait() // requests return no errors
	return rec.finish()
}
