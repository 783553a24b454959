package toucanfake

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"toucanport/toucanengine"
)

const (
	maxBodyBytes   = 16 << 20
	maxEventTokens = 256
)

// completionRequest holds the fields of a completion request that the fake engine reads.
type completionRequest struct {
	RequestID  string          `json:"request_id"`
	Prompt     string          `json:"prompt"`
	Messages   json.RawMessage `json:"messages"`
	MaxTokens  int             `json:"max_tokens"`
	Priority   int             `json:"priority"`
	PrefixHash uint64          `json:"prefix_hash"`
}

func (r completionRequest) promptText() string {
	if len(r.Messages) > 0 {
		return string(r.Messages)
	}
	return r.Prompt
}

func (e *Engine) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", e.serveCompletion)
	mux.HandleFunc("POST /v1/chat/completions", e.serveCompletion)
	mux.HandleFunc("GET /v1/generations/{id}", e.serveResume)
	mux.HandleFunc("DELETE /v1/generations/{id}", e.serveCancel)
	mux.HandleFunc("GET /control/report", e.serveReport)
	mux.HandleFunc("GET /control/cacheEvents", e.serveCacheEvents)
	mux.HandleFunc("POST /control/orders", e.serveOrder)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if e.answers.wait(r.Context()) == nil {
			mux.ServeHTTP(w, r)
		}
	})
}

func (e *Engine) serveCompletion(w http.ResponseWriter, r *http.Request) {
	var req completionRequest
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err == nil {
		err = json.Unmarshal(body, &req)
	}
	if err != nil || req.RequestID == "" {
		http.Error(w, "body is not a completion request with a request_id", http.StatusBadRequest)
		return
	}
	if promptTokens(req.promptText()) >= e.cfg.Blocks*e.cfg.BlockTokens {
		http.Error(w, "prompt is longer than the engine's memory", http.StatusBadRequest)
		return
	}
	e.stream(w, r, e.getOrStart(req), 0)
}

func (e *Engine) find(id string) (*sequence, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s, ok := e.byID[id]
	return s, ok
}

func (e *Engine) serveResume(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.Atoi(r.URL.Query().Get("from"))
	if err != nil || from < 0 {
		http.Error(w, "from must be a token index", http.StatusBadRequest)
		return
	}
	s, ok := e.find(r.PathValue("id"))
	if !ok {
		http.Error(w, "no such generation", http.StatusNotFound)
		return
	}
	e.stream(w, r, s, from)
}

// serveCancel cancels a generation. For an unknown id it records a cancelled generation, so that a request that
// arrives later with this id does not run.
func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	e.mu.Lock()
	s, ok := e.byID[id]
	if ok {
		e.cancel(s)
	} else {
		e.byID[id] = &sequence{id: id, cancelled: true, endedAt: time.Now()}
	}
	e.mu.Unlock()
	e.signal()
	if !ok {
		http.Error(w, "no such generation", http.StatusNotFound)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// progress is a snapshot of a sequence's output state.
type progress struct {
	produced  int
	finish    string
	cancelled bool
}

func (e *Engine) progress(s *sequence) progress {
	e.mu.Lock()
	defer e.mu.Unlock()
	return progress{produced: s.produced, finish: s.finish, cancelled: s.cancelled}
}

// watch returns a channel that is signaled when s changes; unwatch releases it. It never fires for an ended
// sequence.
func (e *Engine) watch(s *sequence) chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	changed := make(chan struct{}, 1)
	if !s.ended() {
		s.watchers[changed] = struct{}{}
	}
	return changed
}

func (e *Engine) unwatch(s *sequence, changed chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(s.watchers, changed)
}

// stream sends the tokens of s from index next on, until s ends or the client disconnects. The stream of a
// cancelled generation is closed without the final event.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, s *sequence, next int) {
	w.Header().Set("Content-Type", "text/event-stream")
	flush := http.NewResponseController(w).Flush
	if flush() != nil {
		return
	}
	changed := e.watch(s)
	defer e.unwatch(s, changed)
	buf := make([]byte, 0, 512)
	for {
		if e.answers.wait(r.Context()) != nil {
			return
		}
		p := e.progress(s)
		if p.cancelled {
			return
		}
		for next < p.produced || p.finish != "" {
			to := min(p.produced, next+maxEventTokens)
			last := p.finish != "" && to >= p.produced
			buf = appendEvent(buf[:0], s, next, to, last)
			if _, err := w.Write(buf); err != nil {
				return
			}
			next = max(next, to)
			if last {
				return
			}
		}
		if flush() != nil {
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		}
	}
}

// appendEvent appends the server-sent event of the tokens [first, to) to b. The last event also carries the finish
// reason and the usage, and is followed by [DONE].
func appendEvent(b []byte, s *sequence, first, to int, last bool) []byte {
	b = append(b, "id: "...)
	b = strconv.AppendInt(b, int64(first), 10)
	b = append(b, "\ndata: {\"choices\":[{\"index\":0,\"tokens\":["...)
	for i := first; i < to; i++ {
		if i > first {
			b = append(b, ',')
		}
		b = append(b, '"')
		b = append(b, tokenText(s.hash, i)...)
		b = append(b, '"')
	}
	if !last {
		return append(b, "],\"finish_reason\":null}]}\n\n"...)
	}
	b = append(b, "],\"finish_reason\":\""...)
	b = append(b, s.targetFinish...)
	b = append(b, "\"}],\"usage\":{\"prompt_tokens\":"...)
	b = strconv.AppendInt(b, int64(s.promptTokens), 10)
	b = append(b, ",\"completion_tokens\":"...)
	b = strconv.AppendInt(b, int64(s.produced), 10)
	return append(b, "}}\n\ndata: [DONE]\n\n"...)
}

func (e *Engine) serveReport(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	rep := e.reports.update(e.report(), e.cfg.ReportLag)
	e.mu.Unlock()
	writeJSON(w, rep)
}

func (e *Engine) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "after must be a sequence number", http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	events := e.events.published(after, e.cfg.CacheEventLag)
	e.mu.Unlock()
	writeJSON(w, events)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	// Encoding fails only when the client has disconnected.
	_ = json.NewEncoder(w).Encode(v)
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o toucanengine.Order
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBodyBytes)).Decode(&o); err != nil {
		http.Error(w, "body is not an order", http.StatusBadRequest)
		return
	}
	if e.isFenced(o) {
		http.Error(w, "old fencing number", http.StatusConflict)
		return
	}
	if o.Kind != toucanengine.OrderSetRole && e.cfg.Weights.load(r.Context()) != nil {
		return
	}
	if !e.applyOrder(o) {
		http.Error(w, "old fencing number", http.StatusConflict)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) isFenced(o toucanengine.Order) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cfg.ChecksFencing && o.Fence < e.highestFence
}

// applyOrder records an order as applied. It returns false if an order with a higher fencing number was applied
// while the weights for this one were loading.
func (e *Engine) applyOrder(o toucanengine.Order) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cfg.ChecksFencing && o.Fence < e.highestFence {
		return false
	}
	e.highestFence = max(e.highestFence, o.Fence)
	e.ledger.recordOrder(OrderRecord{Order: o, Engine: e.cfg.Name, At: time.Now()})
	return true
}
