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

// completionRequest is the body of a completion call, as far as the stand-in reads it.
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
	mux.HandleFunc("POST /v1/completions", e.complete)
	mux.HandleFunc("POST /v1/chat/completions", e.complete)
	mux.HandleFunc("GET /v1/generations/{id}", e.resume)
	mux.HandleFunc("DELETE /v1/generations/{id}", e.drop)
	mux.HandleFunc("GET /control/report", e.sendReport)
	mux.HandleFunc("GET /control/cacheEvents", e.sendCacheEvents)
	mux.HandleFunc("POST /control/orders", e.order)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if e.answers.wait(r.Context()) == nil {
			mux.ServeHTTP(w, r)
		}
	})
}

func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	var req completionRequest
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err == nil {
		err = json.Unmarshal(body, &req)
	}
	if err != nil || req.RequestID == "" {
		http.Error(w, "body is no completion request with a request_id", http.StatusBadRequest)
		return
	}
	if promptTokens(req.promptText()) >= e.cfg.Blocks*e.cfg.BlockTokens {
		http.Error(w, "prompt is longer than the engine's memory", http.StatusBadRequest)
		return
	}
	e.stream(w, r, e.start(req), 0)
}

func (e *Engine) find(id string) (*sequence, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s, ok := e.byID[id]
	return s, ok
}

func (e *Engine) resume(w http.ResponseWriter, r *http.Request) {
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

// drop cancels a generation. The id of one that never came is remembered, so that it does not start later.
func (e *Engine) drop(w http.ResponseWriter, r *http.Request) {
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

// progress is the state of a sequence at one moment.
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

// stream sends the tokens of s from index next until it ends or the client goes. A cancelled generation's
// stream is closed without the final event.
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

// appendEvent appends the event of the tokens from first up to but not including to.
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

func (e *Engine) sendReport(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	rep := e.reports.take(e.report(), e.cfg.ReportLag)
	e.mu.Unlock()
	sendJSON(w, rep)
}

func (e *Engine) sendCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "after must be a sequence number", http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	events := e.events.published(after, e.cfg.CacheEventLag)
	e.mu.Unlock()
	sendJSON(w, events)
}

func sendJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	// A client that has gone needs no answer.
	_ = json.NewEncoder(w).Encode(v)
}

func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	var o toucanengine.Order
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBodyBytes)).Decode(&o); err != nil {
		http.Error(w, "body is no order", http.StatusBadRequest)
		return
	}
	if e.fenced(o) {
		http.Error(w, "old fencing number", http.StatusConflict)
		return
	}
	if o.Kind != toucanengine.OrderSetRole && e.cfg.Weights.load(r.Context()) != nil {
		return
	}
	if !e.apply(o) {
		http.Error(w, "old fencing number", http.StatusConflict)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) fenced(o toucanengine.Order) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cfg.ChecksFencing && o.Fence < e.highestFence
}

// apply carries an order out, unless a higher fencing number came while it was prepared.
func (e *Engine) apply(o toucanengine.Order) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cfg.ChecksFencing && o.Fence < e.highestFence {
		return false
	}
	e.highestFence = max(e.highestFence, o.Fence)
	e.ledger.applied(OrderRecord{Order: o, Engine: e.cfg.Name, At: time.Now()})
	return true
}
