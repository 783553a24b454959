package main

import (
	"fmt"
	"io"
	"net/http"
	"time"
)

// newStream starts a stand-in of a model engine that answers streams of a few events.
func (r *rig) newStream(n int) (*engine, error) {
	e, err := r.newEngine(n, "redacteur", 24)
	if err != nil {
		return nil, err
	}
	go func() {
		_ = http.Serve(e.listener, http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
			if q.URL.Path == "/report" {
				_, _ = io.WriteString(w, `{"QueueDepth":0,"ActiveRequests":0,"KvCacheUsed":0,"KvCacheTotal":34319}`)
				return
			}
			_, _ = io.Copy(io.Discard, q.Body)
			w.Header().Set("Attempt-Id", q.Header.Get("Attempt-Id"))
			w.Header().Set("Server-Seal", "3e1b.07."+e.id)
			w.Header().Set("Content-Type", "text/event-stream")
			for i := range 20 {
				fmt.Fprintf(w, "id: %d\ndata: x\n\n", i+1)
				_ = http.NewResponseController(w).Flush()
				time.Sleep(50 * time.Millisecond)
			}
		}))
	}()
	e.beat()
	return e, nil
}
