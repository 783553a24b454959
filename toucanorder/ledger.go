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
	// firstRetry and maxRetry are the initial and maximum backoff within one commit after a conflict or a lost reply.
	firstRetry = 5 * time.Millisecond
	maxRetry   = 200 * time.Millisecond
	// defaultListTimeout is the timeout for reading a whole shard, which can be tens of megabytes.
	defaultListTimeout = 10 * time.Second
)

// ledger reads and writes one shard in the store and caches the last state read. All methods must be called from one
// goroutine, except outcome, which is safe for concurrent use.
type ledger struct {
	store  toucanstore.Store
	prefix string
	scope  tally.Scope
	shard  toucanledger.Shard
	// revision is the store revision of the head that shard was read from; zero if there is no head yet.
	revision uint64
	// loaded is false when the head must be read from the store before the next write.
	loaded bool
	// listed is true once the shard has been read with list.
	listed bool
	// readAt is when the head was last read or written.
	readAt time.Time
	// writeInDoubt is true while a write whose reply was lost may still take effect. The next successful write of the
	// head rules that out.
	writeInDoubt bool
	// mayBeCommitted is true when operations of the last commit may have taken effect despite an error, because the
	// reply to a write was lost.
	mayBeCommitted bool
	// timeout is the timeout of one commit; listTimeout is that of the first read of the whole shard.
	timeout, listTimeout time.Duration

	// mu guards unreferenced and revisions.
	mu sync.Mutex
	// unreferenced holds the names of chunks to delete: no head refers to them.
	unreferenced []string
	// revisions holds the store revisions of the chunks by name.
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

// commit applies ops and writes the head. After an error, ops may have been committed if mayBeCommitted is true, and
// were not committed otherwise.
func (l *ledger) commit(ctx context.Context, ops []toucanledger.Op) ([]toucanledger.Result, error) {
	l.mayBeCommitted = l.writeInDoubt
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
	var pending maintenance
	base := l.shard
	if first {
		base, pending = l.maintain(ctx)
	}
	next, results := base.Apply(ops, time.Now())
	if !anyChanged(results) && !pending.changed() && !l.writeInDoubt {
		if !l.stale(results) {
			return results, nil
		}
		l.loaded = false
		return nil, errors.Wrap(toucanstore.ErrConflict, "head may be out of date")
	}
	if err := l.write(ctx, next); err != nil {
		l.undoMaintenance(pending, err)
		return nil, err
	}
	l.queueDeletion(pending.dropped...)
	l.scope.Counter("order_commits").Inc(1)
	return results, nil
}

func anyChanged(results []toucanledger.Result) bool {
	for _, r := range results {
		if r.Changed {
			return true
		}
	}
	return false
}

// stale reports whether reading the head again could improve one of the results. It is called only for results that
// change nothing, so no write has checked that the cached head is current.
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

// maintenance lists the chunks that change with the next write of the head.
type maintenance struct {
	// written is the name of the new chunk that the head refers to; empty if there is none.
	written string
	// dropped holds the names of the chunks that the head no longer refers to.
	dropped []string
}

func (u maintenance) changed() bool { return u.written != "" || len(u.dropped) > 0 }

// maintain writes the chunk, if one is due, that must be in the store before the head that refers to it. If the write
// fails, the next head is written without maintenance.
func (l *ledger) maintain(ctx context.Context) (toucanledger.Shard, maintenance) {
	next, up, err := l.shard.WithMaintenance(newWriterID(), time.Now())
	if err != nil {
		return l.shard, maintenance{}
	}
	var u maintenance
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
		return l.shard, maintenance{}
	}
	l.setRevision(u.written, revision)
	return next, u
}

// undoMaintenance queues the new chunk for deletion if the head that refers to it was certainly not written.
func (l *ledger) undoMaintenance(u maintenance, err error) {
	if u.written != "" && !l.writeInDoubt && !errors.Is(err, toucanstore.ErrUnknownOutcome) {
		l.queueDeletion(u.written)
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
		l.writeInDoubt = l.writeInDoubt || errors.Is(err, toucanstore.ErrUnknownOutcome)
		l.mayBeCommitted = l.mayBeCommitted || l.writeInDoubt
		return err
	}
	l.shard, l.revision, l.readAt = next, revision, time.Now()
	l.writeInDoubt = false
	return nil
}

// load reads the head and the chunks that are not cached, unless the cached head is current.
func (l *ledger) load(ctx context.Context) error {
	if l.loaded {
		return nil
	}
	v, err := l.store.Get(ctx, l.headKey())
	if errors.Is(err, toucanstore.ErrNotFound) {
		return l.setHead(v, map[string][]byte{})
	}
	if err != nil {
		return err
	}
	bodies, err := l.fetchMissing(ctx, v)
	if err != nil {
		return err
	}
	revisionChanged := v.Revision != l.revision
	if err := l.setHead(v, bodies); err != nil {
		return err
	}
	// If the revision changed, the write in doubt has either taken effect or can no longer do so, because it expects
	// the old revision.
	l.writeInDoubt = l.writeInDoubt && !revisionChanged
	return nil
}

// list reads the whole shard in one call on first use. It also finds orphaned chunks, left by a process that ended
// after writing a chunk and before writing the head.
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
		l.setRevision(name, v.Revision)
	}
	if err := l.setHead(head, bodies); err != nil {
		return err
	}
	l.listed = true
	l.queueOrphans(head, bodies)
	return nil
}

func (l *ledger) setHead(v toucanstore.Value, bodies map[string][]byte) error {
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
			return nil, errors.Wrap(toucanstore.ErrConflict, "chunk was deleted since the head was read")
		}
		if err != nil {
			return nil, err
		}
		bodies[ref.Name()] = chunk.Body
		l.setRevision(ref.Name(), chunk.Revision)
	}
	return bodies, nil
}

// queueOrphans queues for deletion the chunks that no head can refer to. A head can add a chunk only if the chunk's
// sequence equals the previous head's NextSequence, so an unreferenced chunk with a lower sequence is an orphan.
func (l *ledger) queueOrphans(v toucanstore.Value, bodies map[string][]byte) {
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
			l.unreferenced = append(l.unreferenced, name)
		}
	}
}

func (l *ledger) setRevision(name string, revision uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.revisions[name] = revision
}

func (l *ledger) queueDeletion(names ...string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unreferenced = append(l.unreferenced, names...)
}

// deleteNextChunk deletes one unreferenced chunk. It deletes one per commit, to spread the deletion of many chunks. A
// chunk whose deletion fails is found again by the next process that lists the shard.
func (l *ledger) deleteNextChunk(ctx context.Context) {
	l.mu.Lock()
	if len(l.unreferenced) == 0 {
		l.mu.Unlock()
		return
	}
	name := l.unreferenced[0]
	revision := l.revisions[name]
	l.unreferenced = l.unreferenced[1:]
	delete(l.revisions, name)
	l.mu.Unlock()
	if err := l.store.Delete(ctx, l.chunkKey(name), revision); err != nil {
		l.scope.Counter("order_sweep_failures").Inc(1)
	}
}

// outcome reads an outcome from a chunk. It returns nil if the chunk cannot be read or does not hold the outcome.
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
