package toucanorder

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"

	"toucanport/toucanledger"
	"toucanport/toucanstore"
)

const (
	headName    = "head"
	chunkPrefix = "chunk/"
	// firstRetry and maxRetry bound the waits within one commit after a conflict or a lost reply.
	firstRetry = 5 * time.Millisecond
	maxRetry   = 200 * time.Millisecond
	// defaultListTimeout bounds the reading of a whole shard, of up to some tens of megabytes.
	defaultListTimeout = 10 * time.Second
)

// ledger is one shard as it lies in the store, with what was last read of it. Only one goroutine commits; outcome
// may be called from any.
type ledger struct {
	store  toucanstore.Store
	prefix string
	scope  tally.Scope
	shard  toucanledger.Shard
	// revision is that of the head which shard shows; zero while there is none.
	revision uint64
	// loaded is false when the head in the store may differ from shard.
	loaded bool
	// listed is true once the shard's chunks have been listed.
	listed bool
	// readAt is when the head was last read or written.
	readAt time.Time
	// unsettled is true while a write whose reply was lost may still take effect. The next write settles it.
	unsettled bool
	// doubtful is true when a write of the last commit had no reply, so that its claims may have taken effect.
	doubtful bool
	// timeout bounds one commit, and listTimeout the reading of a shard that is used for the first time.
	timeout, listTimeout time.Duration

	// mu guards garbage and revisions.
	mu sync.Mutex
	// garbage holds the names of chunks that no head refers to any longer.
	garbage []string
	// revisions holds those of the chunks by name.
	revisions map[string]uint64
}

func newLedger(c *Claims, prefix string) *ledger {
	return &ledger{
		store:       c.store,
		prefix:      prefix,
		scope:       c.scope,
		shard:       toucanledger.NewShard(c.limits),
		timeout:     c.commitTimeout,
		listTimeout: defaultListTimeout,
		revisions:   make(map[string]uint64),
	}
}

func (l *ledger) headKey() string { return l.prefix + headName }

func (l *ledger) chunkKey(name string) string { return l.prefix + chunkPrefix + name }

// commit applies ops and writes the head. After an error the ops are committed only if doubtful is true, and
// perhaps not even then.
func (l *ledger) commit(ctx context.Context, ops []toucanledger.Op) ([]toucanledger.Result, error) {
	l.doubtful = l.unsettled
	if err := l.list(ctx); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, l.timeout)
	defer cancel()
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval = firstRetry
	retry.MaxInterval = maxRetry
	for first := true; ; first = false {
		results, err := l.attempt(ctx, ops, first)
		if err == nil {
			return results, nil
		}
		if !errors.Is(err, toucanstore.ErrConflict) && !errors.Is(err, toucanstore.ErrUnknownOutcome) {
			return nil, err
		}
		l.scope.Counter("order_commit_retries").Inc(1)
		if !sleepUntil(ctx, time.Now().Add(retry.NextBackOff())) {
			return nil, errors.Wrap(err, "commit timed out")
		}
	}
}

func (l *ledger) attempt(ctx context.Context, ops []toucanledger.Op, first bool) ([]toucanledger.Result, error) {
	if err := l.load(ctx); err != nil {
		return nil, err
	}
	var kept upkeep
	base := l.shard
	if first {
		base, kept = l.upkeep(ctx)
	}
	next, results := base.With(ops, time.Now())
	if !changed(results) && !kept.changed() && !l.unsettled {
		if !l.stale(results) {
			return results, nil
		}
		l.loaded = false
		return nil, errors.Wrap(toucanstore.ErrConflict, "head may be out of date")
	}
	if err := l.write(ctx, next); err != nil {
		l.undo(kept, err)
		return nil, err
	}
	l.discard(kept.dropped...)
	l.scope.Counter("order_commits").Inc(1)
	return results, nil
}

func changed(results []toucanledger.Result) bool {
	for _, r := range results {
		if r.Changed {
			return true
		}
	}
	return false
}

// stale reports whether a fresh read could turn one of the results, none of which changes anything, into a better
// one.
func (l *ledger) stale(results []toucanledger.Result) bool {
	if time.Since(l.readAt) < DefaultInterval {
		return false
	}
	for _, r := range results {
		switch r.Verdict {
		case toucanledger.InProgress, toucanledger.OutcomeUnknown, toucanledger.Full, toucanledger.KeyReused:
			return true
		}
	}
	return false
}

// upkeep is what was done before a head was written.
type upkeep struct {
	// written names the chunk that the head will refer to; empty for none.
	written string
	// dropped names the chunks that it will no longer refer to.
	dropped []string
}

func (u upkeep) changed() bool { return u.written != "" || len(u.dropped) > 0 }

// upkeep writes what has to be in the store before the head that refers to it. When that fails the head goes
// without.
func (l *ledger) upkeep(ctx context.Context) (toucanledger.Shard, upkeep) {
	next, up, err := l.shard.WithUpkeep(newWriter(), time.Now())
	if err != nil {
		return l.shard, upkeep{}
	}
	var u upkeep
	for _, ref := range up.Drop {
		u.dropped = append(u.dropped, ref.Name())
	}
	if up.Write == nil {
		return next, u
	}
	u.written = up.Write.Name()
	revision, err := l.store.CompareAndSwap(ctx, l.chunkKey(u.written), up.Body, 0)
	if err != nil {
		l.scope.Counter("order_chunk_failures").Inc(1)
		return l.shard, upkeep{}
	}
	l.remember(u.written, revision)
	return next, u
}

// undo discards the chunk of a head that was surely not written.
func (l *ledger) undo(u upkeep, err error) {
	if u.written != "" && !l.unsettled && !errors.Is(err, toucanstore.ErrUnknownOutcome) {
		l.discard(u.written)
	}
}

func (l *ledger) write(ctx context.Context, next toucanledger.Shard) error {
	body, err := next.Encode()
	if err != nil {
		return err
	}
	revision, err := l.store.CompareAndSwap(ctx, l.headKey(), body, l.revision)
	if err != nil {
		l.loaded = l.loaded && errors.Is(err, toucanstore.ErrUnavailable)
		l.unsettled = l.unsettled || errors.Is(err, toucanstore.ErrUnknownOutcome)
		l.doubtful = l.doubtful || l.unsettled
		return err
	}
	l.shard, l.revision, l.readAt = next, revision, time.Now()
	l.unsettled = false
	return nil
}

// load reads the head, and the chunks that it newly refers to, unless what is held is current.
func (l *ledger) load(ctx context.Context) error {
	if l.loaded {
		return nil
	}
	v, err := l.store.Get(ctx, l.headKey())
	if errors.Is(err, toucanstore.ErrNotFound) {
		return l.adopt(v, map[string][]byte{})
	}
	if err != nil {
		return err
	}
	bodies, err := l.fetchMissing(ctx, v)
	if err != nil {
		return err
	}
	moved := v.Revision != l.revision
	if err := l.adopt(v, bodies); err != nil {
		return err
	}
	// A lost write has taken effect in a head that moved on, or can no longer do so.
	l.unsettled = l.unsettled && !moved
	return nil
}

// list reads the whole shard with one call, the first time that it is used, and finds chunks that a process left
// behind when it ended between its two writes.
func (l *ledger) list(ctx context.Context) error {
	if l.listed {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, l.listTimeout)
	defer cancel()
	values, err := l.store.List(ctx, l.prefix)
	if err != nil {
		return err
	}
	var head toucanstore.Value
	bodies := make(map[string][]byte)
	for _, v := range values {
		name, isChunk := strings.CutPrefix(v.Key, l.prefix+chunkPrefix)
		if !isChunk {
			head = v
			continue
		}
		bodies[name] = v.Body
		l.remember(name, v.Revision)
	}
	if err := l.adopt(head, bodies); err != nil {
		return err
	}
	l.listed = true
	l.discardOrphans(head, bodies)
	return nil
}

func (l *ledger) adopt(v toucanstore.Value, bodies map[string][]byte) error {
	head, err := toucanledger.DecodeHead(v.Body)
	if err != nil {
		return err
	}
	shard, err := l.shard.WithHead(head, bodies)
	if err != nil {
		return err
	}
	l.shard, l.revision, l.readAt = shard, v.Revision, time.Now()
	l.loaded = true
	return nil
}

func (l *ledger) fetchMissing(ctx context.Context, v toucanstore.Value) (map[string][]byte, error) {
	head, err := toucanledger.DecodeHead(v.Body)
	if err != nil {
		return nil, err
	}
	bodies := make(map[string][]byte)
	for _, ref := range l.shard.Missing(head) {
		chunk, err := l.store.Get(ctx, l.chunkKey(ref.Name()))
		if errors.Is(err, toucanstore.ErrNotFound) {
			return nil, errors.Wrap(toucanstore.ErrConflict, "chunk was dropped meanwhile")
		}
		if err != nil {
			return nil, err
		}
		bodies[ref.Name()] = chunk.Body
		l.remember(ref.Name(), chunk.Revision)
	}
	return bodies, nil
}

// discardOrphans finds chunks that no head will refer to: a head that took one in would have had its sequence as
// the next one, and that is past.
func (l *ledger) discardOrphans(v toucanstore.Value, bodies map[string][]byte) {
	head, err := toucanledger.DecodeHead(v.Body)
	if err != nil {
		return
	}
	referenced := make(map[string]bool)
	for _, ref := range head.Chunks {
		referenced[ref.Name()] = true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for name := range bodies {
		sequence, ok := toucanledger.SequenceOfName(name)
		if ok && sequence < head.NextSequence && !referenced[name] {
			l.garbage = append(l.garbage, name)
		}
	}
}

func (l *ledger) remember(name string, revision uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.revisions[name] = revision
}

func (l *ledger) discard(names ...string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.garbage = append(l.garbage, names...)
}

// sweep deletes one chunk that is no longer referred to, so that a large drop is spread over many commits. One
// that can't be deleted is found again by the next process that lists the shard.
func (l *ledger) sweep(ctx context.Context) {
	l.mu.Lock()
	if len(l.garbage) == 0 {
		l.mu.Unlock()
		return
	}
	name := l.garbage[0]
	revision := l.revisions[name]
	l.garbage = l.garbage[1:]
	delete(l.revisions, name)
	l.mu.Unlock()
	if err := l.store.Delete(ctx, l.chunkKey(name), revision); err != nil {
		l.scope.Counter("order_sweep_failures").Inc(1)
	}
}

// outcome reads an outcome from a chunk, or returns nil if it is out of reach.
func (l *ledger) outcome(ctx context.Context, ref *toucanledger.ChunkRef, key toucanledger.Fingerprint) *toucanledger.Outcome {
	v, err := l.store.Get(ctx, l.chunkKey(ref.Name()))
	if err != nil {
		return nil
	}
	o, err := toucanledger.OutcomeInChunk(v.Body, key)
	if err != nil {
		return nil
	}
	return o
}
