package toucanload

import (
	"context"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"
)

// RunBatch sends n requests, at most limit concurrently, and returns when all have ended. Latencies count from the
// time at which a request is sent.
func RunBatch(ctx context.Context, cfg Config, n, limit int) Report {
	client := &http.Client{Transport: cfg.Transport}
	rec := newRecorder()
	var group errgroup.Group
	group.SetLimit(limit)
	for i := range n {
		group.Go(func() error {
			runRequest(ctx, client, cfg, i, time.Now(), rec)
			return nil
		})
	}
	_ = group.Wait() // requests return no errors
	return rec.finish()
}
