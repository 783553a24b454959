package toucanfakestore

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"toucanport/toucanstore"
)

// maxRequestBytes is large enough for two values of the maximum size in base64.
const maxRequestBytes = 3 * toucanstore.MaxValueBytes

// Handler serves the HTTP API of the key-value service. A refused call is answered with status 429, which
// guarantees that it had no effect. If a request or reply is lost, its connection is closed.
func (m *Memory) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+toucanstore.PathKV, m.serveRead)
	mux.HandleFunc("DELETE "+toucanstore.PathKV, m.serveDelete)
	mux.HandleFunc("PUT "+toucanstore.PathTxn, m.serveTxn)
	mux.HandleFunc("PUT "+toucanstore.PathSessionCreate, m.serveSessionCreate)
	mux.HandleFunc("PUT "+toucanstore.PathSessionRenew, m.serveSessionRenew)
	mux.HandleFunc("PUT "+toucanstore.PathSessionDestroy, m.serveSessionDestroy)
	return mux
}

func (m *Memory) serveRead(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, err := strconv.ParseUint(query.Get("index"), 10, 64)
	waiting := err == nil
	if err := m.read(r.Context(), waiting); err != nil {
		writeRefusal(w)
		return
	}
	key := strings.TrimPrefix(r.URL.Path, toucanstore.PathKV)
	if waiting {
		values, index := m.waitForChange(r.Context(), key, after, watchWait(query.Get("wait"), m.wait))
		writeValues(w, values, index)
		return
	}
	if query.Has("recurse") {
		values, index, _ := m.state.list(key)
		writeValues(w, values, index)
		return
	}
	v, index, ok := m.state.get(key)
	if !ok {
		writeValues(w, nil, index)
		return
	}
	writeValues(w, []toucanstore.Value{v}, index)
}

func watchWait(text string, bound time.Duration) time.Duration {
	d, err := time.ParseDuration(text)
	if err != nil || d <= 0 {
		return bound
	}
	return min(d, toucanstore.MaxWait)
}

func writeValues(w http.ResponseWriter, values []toucanstore.Value, index uint64) {
	w.Header().Set(toucanstore.HeaderIndex, strconv.FormatUint(index, 10))
	if len(values) == 0 {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	pairs := make([]toucanstore.KVPair, len(values))
	for i, v := range values {
		pairs[i] = toucanstore.KVPair{Key: v.Key, Value: v.Body, ModifyIndex: v.Revision}
	}
	writeJSON(w, http.StatusOK, pairs)
}

func (m *Memory) serveDelete(w http.ResponseWriter, r *http.Request) {
	expected, _ := strconv.ParseUint(r.URL.Query().Get("cas"), 10, 64)
	key := strings.TrimPrefix(r.URL.Path, toucanstore.PathKV)
	err := m.write(r.Context(), func() error { return m.state.remove(key, expected) })
	if errors.Is(err, toucanstore.ErrConflict) {
		writeJSON(w, http.StatusOK, false)
		return
	}
	writeResult(w, err, true)
}

func (m *Memory) serveTxn(w http.ResponseWriter, r *http.Request) {
	var ops []toucanstore.TxnOp
	if !readJSON(w, r, &ops) {
		return
	}
	swap, leaseID, ok := parseTxn(ops)
	if !ok {
		http.Error(w, "unsupported transaction", http.StatusBadRequest)
		return
	}
	var revision uint64
	err := m.write(r.Context(), func() (err error) {
		revision, err = m.swap(swap.Key, swap.Value, swap.Index, leaseID)
		return err
	})
	pair := toucanstore.KVPair{Key: swap.Key, ModifyIndex: revision, Session: leaseID}
	writeResult(w, err, toucanstore.TxnReply{Results: []toucanstore.TxnResult{{KV: pair}}})
}

// parseTxn returns the compare-and-swap of a transaction and the lease that locks its key, if any. The only
// supported transactions are one cas, alone or followed by a lock of the same key.
func parseTxn(ops []toucanstore.TxnOp) (swap toucanstore.TxnKV, leaseID string, ok bool) {
	if len(ops) == 0 || len(ops) > 2 || ops[0].KV.Verb != toucanstore.VerbCAS {
		return swap, "", false
	}
	swap = ops[0].KV
	if len(ops) == 1 {
		return swap, "", true
	}
	lock := ops[1].KV
	return swap, lock.Session, lock.Verb == toucanstore.VerbLock && lock.Key == swap.Key && lock.Session != ""
}

func (m *Memory) serveSessionCreate(w http.ResponseWriter, r *http.Request) {
	var s toucanstore.Session
	if !readJSON(w, r, &s) {
		return
	}
	ttl, err := time.ParseDuration(s.TTL)
	if err != nil || ttl <= 0 {
		http.Error(w, "invalid TTL", http.StatusBadRequest)
		return
	}
	var id string
	err = m.write(r.Context(), func() error {
		id = m.state.grantLease(ttl)
		return nil
	})
	writeResult(w, err, toucanstore.Session{ID: id})
}

func (m *Memory) serveSessionRenew(w http.ResponseWriter, r *http.Request) {
	id := strings.TrimPrefix(r.URL.Path, toucanstore.PathSessionRenew)
	err := m.write(r.Context(), func() error { return m.state.renewLease(id) })
	writeResult(w, err, []toucanstore.Session{{ID: id}})
}

func (m *Memory) serveSessionDestroy(w http.ResponseWriter, r *http.Request) {
	id := strings.TrimPrefix(r.URL.Path, toucanstore.PathSessionDestroy)
	err := m.write(r.Context(), func() error {
		m.state.endLease(id)
		return nil
	})
	writeResult(w, err, true)
}

func writeResult(w http.ResponseWriter, err error, body any) {
	switch {
	case err == nil:
		writeJSON(w, http.StatusOK, body)
	case errors.Is(err, toucanstore.ErrUnavailable):
		writeRefusal(w)
	case errors.Is(err, toucanstore.ErrConflict):
		writeJSON(w, http.StatusConflict, toucanstore.TxnReply{Errors: []toucanstore.TxnError{{What: err.Error()}}})
	case errors.Is(err, toucanstore.ErrNotFound):
		w.WriteHeader(http.StatusNotFound)
	case errors.Is(err, toucanstore.ErrTooLarge):
		w.WriteHeader(http.StatusRequestEntityTooLarge)
	default:
		panic(http.ErrAbortHandler)
	}
}

func writeRefusal(w http.ResponseWriter) { w.WriteHeader(http.StatusTooManyRequests) }

func readJSON(w http.ResponseWriter, r *http.Request, into any) bool {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	if err != nil {
		w.WriteHeader(http.StatusRequestEntityTooLarge)
		return false
	}
	if err := json.Unmarshal(body, into); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
