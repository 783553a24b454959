package toucanledger

import (
	"maps"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"
)

// ErrMalformed is returned for a stored value that can't be read.
var ErrMalformed = errors.New("ledger: malformed value")

// keyTimeAllowance is how far the clocks of callers may be off.
const keyTimeAllowance = time.Minute

// recordOverhead is what a list adds to the encoding of a record, in bytes.
const recordOverhead = 4

// Kind is what an operation does to an order.
type Kind int

const (
	// Claim reserves the order for an attempt, before the endpoint sees it.
	Claim Kind = iota
	// Finish records the outcome.
	Finish
	// Abandon releases the key: the attempt never reached the endpoint.
	Abandon
	// Lose records that the outcome will never be known.
	Lose
)

// Op is one operation on an order.
type Op struct {
	Kind Kind
	Key  Fingerprint
	// RequestHash is that of the call's method, path and body; a repeat must have the same.
	RequestHash uint64
	// Attempt identifies whoever claims; only it can change the order afterwards. Never zero.
	Attempt uint64
	// Deadline is when the attempt gives up. Claims only.
	Deadline time.Time
	// Created is when the caller made the key, if the key tells. Claims only.
	Created time.Time
	// Status and Outcome are recorded by Finish.
	Status  int
	Outcome *Outcome
}

// Verdict is what became of an operation.
type Verdict int

const (
	// Granted means that the attempt holds the order once the shard is committed.
	Granted Verdict = iota
	// InProgress means that another attempt holds the order and has not given up yet.
	InProgress
	// Recorded means that the order was carried out; the result holds what is kept of its outcome.
	Recorded
	// OutcomeUnknown means that an earlier attempt may have carried the order out.
	OutcomeUnknown
	// KeyReused means that the key belongs to an order with another content.
	KeyReused
	// KeyExpired means that the key is older than what is kept.
	KeyExpired
	// Full means that the order can't be recorded at present.
	Full
	// Ignored means that the attempt does not hold the order, so nothing was changed.
	Ignored
	// Applied means that the order was changed.
	Applied
)

// Result is the answer to one Op.
type Result struct {
	Verdict Verdict
	// Changed is true when the operation changed the shard, which must then be committed.
	Changed bool
	// Until is the deadline of the attempt that holds the order. InProgress only.
	Until time.Time
	// Status and Outcome are those of the first attempt. Recorded only; Outcome is nil when it is not in the head.
	Status  int
	Outcome *Outcome
	// Chunk names the chunk that holds the outcome when the head does not and it is still kept.
	Chunk *ChunkRef
}

// Limits bound what a shard keeps.
type Limits struct {
	// HeadBytes bounds the head, which is rewritten by every commit.
	HeadBytes int
	// SealBytes of closed records in the head are moved to a chunk.
	SealBytes int
	// OutcomeBytes bounds all chunks with outcomes; above it the older half is made compact.
	OutcomeBytes int
	// ShardBytes bounds all chunks.
	ShardBytes int
	// MinAge is how long an order is kept at least: rather than forget sooner, new orders are refused.
	MinAge time.Duration
	// MaxAge is how long an order is kept at most, give or take the time that it takes to fill a chunk.
	MaxAge time.Duration
	// PendingAge is how long after its deadline an order without an outcome is closed as unknown.
	PendingAge time.Duration
}

// DefaultLimits returns limits that hold a shard's values below a megabyte each and 24 MiB in all.
func DefaultLimits() Limits {
	return Limits{
		HeadBytes:    768 << 10,
		SealBytes:    128 << 10,
		OutcomeBytes: 6 << 20,
		ShardBytes:   24 << 20,
		MinAge:       10 * time.Minute,
		MaxAge:       24 * time.Hour,
		PendingAge:   10 * time.Minute,
	}
}

// Shard is one shard's orders as of one revision of its head. Immutable.
type Shard struct {
	limits Limits
	// records are those in the head. Neither the map nor its records change once the shard is built.
	records map[Fingerprint]*Record
	// recordBytes and closedBytes are the encoded sizes of all records and of those that are not pending.
	recordBytes, closedBytes int
	// chunks are ordered from oldest to newest.
	chunks       []chunk
	nextSequence uint64
	// forgotten is when the newest order that is no longer kept was claimed; zero while none was dropped.
	forgotten int64
}

// NewShard returns an empty shard.
func NewShard(l Limits) Shard {
	return Shard{limits: l, records: map[Fingerprint]*Record{}}
}

// Len returns how many orders the head holds, and how many the chunks do.
func (s Shard) Len() (head, chunks int) {
	for _, c := range s.chunks {
		chunks += len(c.entries)
	}
	return len(s.records), chunks
}

// ChunkBytes returns the size of all chunks.
func (s Shard) ChunkBytes() int {
	var n int
	for _, c := range s.chunks {
		n += int(c.ref.GetBytes())
	}
	return n
}

// With applies ops in their order and returns the shard that results, with a result for each.
func (s Shard) With(ops []Op, now time.Time) (Shard, []Result) {
	s.records = maps.Clone(s.records)
	results := make([]Result, len(ops))
	for i, op := range ops {
		if op.Kind == Claim {
			results[i] = s.claim(op, now)
		} else {
			results[i] = s.settle(op)
		}
	}
	return s, results
}

func (s *Shard) claim(op Op, now time.Time) Result {
	if r, ok := s.records[op.Key]; ok {
		return repeat(r, op, now)
	}
	if result, ok := s.sealed(op); ok {
		return result
	}
	if s.isForgotten(op.Created) {
		return Result{Verdict: KeyExpired}
	}
	r := &Record{
		Key:                op.Key[:],
		RequestHash:        op.RequestHash,
		Attempt:            op.Attempt,
		ClaimedUnixMillis:  now.UnixMilli(),
		DeadlineUnixMillis: op.Deadline.UnixMilli(),
	}
	if s.recordBytes+sizeOf(r) > s.limits.HeadBytes || s.ChunkBytes() > s.limits.ShardBytes {
		return Result{Verdict: Full}
	}
	s.put(op.Key, r)
	return Result{Verdict: Granted, Changed: true}
}

// repeat answers a claim of an order that the head holds.
func repeat(r *Record, op Op, now time.Time) Result {
	switch {
	case r.RequestHash != op.RequestHash:
		return Result{Verdict: KeyReused}
	case r.Attempt == op.Attempt:
		return Result{Verdict: Granted}
	case r.State == State_FINISHED:
		return Result{Verdict: Recorded, Status: int(r.Status), Outcome: r.Outcome}
	case r.State == State_UNKNOWN:
		return Result{Verdict: OutcomeUnknown}
	}
	until := time.UnixMilli(r.DeadlineUnixMillis)
	if now.Before(until) {
		return Result{Verdict: InProgress, Until: until}
	}
	return Result{Verdict: OutcomeUnknown}
}

// sealed answers a claim of an order that a chunk holds.
func (s *Shard) sealed(op Op) (Result, bool) {
	for i := len(s.chunks) - 1; i >= 0; i-- {
		e, ok := s.chunks[i].find(op.Key)
		if !ok {
			continue
		}
		return e.repeat(op, s.chunks[i].ref), true
	}
	return Result{}, false
}

func (s *Shard) isForgotten(created time.Time) bool {
	return !created.IsZero() && s.forgotten > 0 && created.Add(-keyTimeAllowance).UnixMilli() <= s.forgotten
}

// settle changes an order that the attempt holds.
func (s *Shard) settle(op Op) Result {
	r, ok := s.records[op.Key]
	if !ok || r.Attempt != op.Attempt {
		return Result{Verdict: Ignored}
	}
	if op.Kind == Abandon {
		s.drop(op.Key)
		return Result{Verdict: Applied, Changed: true}
	}
	closed := &Record{
		Key:               r.Key,
		RequestHash:       r.RequestHash,
		Attempt:           r.Attempt,
		ClaimedUnixMillis: r.ClaimedUnixMillis,
		State:             State_UNKNOWN,
	}
	if op.Kind == Finish {
		closed.State = State_FINISHED
		closed.Status = uint32(op.Status)
		closed.Outcome = op.Outcome
	}
	if s.recordBytes+sizeOf(closed) > s.limits.HeadBytes+s.limits.SealBytes {
		closed.Outcome = nil
	}
	s.put(op.Key, closed)
	return Result{Verdict: Applied, Changed: true}
}

func (s *Shard) put(key Fingerprint, r *Record) {
	s.drop(key)
	n := sizeOf(r)
	s.records[key] = r
	s.recordBytes += n
	if r.State != State_PENDING {
		s.closedBytes += n
	}
}

func (s *Shard) drop(key Fingerprint) {
	r, ok := s.records[key]
	if !ok {
		return
	}
	n := sizeOf(r)
	delete(s.records, key)
	s.recordBytes -= n
	if r.State != State_PENDING {
		s.closedBytes -= n
	}
}

func sizeOf(r *Record) int { return proto.Size(r) + recordOverhead }

// Encode returns the head as it is stored.
func (s Shard) Encode() ([]byte, error) {
	head := &Head{NextSequence: s.nextSequence, ForgottenUnixMillis: s.forgotten}
	for _, r := range s.records {
		head.Records = append(head.Records, r)
	}
	for _, c := range s.chunks {
		head.Chunks = append(head.Chunks, c.ref)
	}
	body, err := proto.Marshal(head)
	return body, errors.Wrap(err, "ledger: encode head")
}

// DecodeHead reads a stored head.
func DecodeHead(body []byte) (*Head, error) {
	head := &Head{}
	if err := proto.Unmarshal(body, head); err != nil {
		return nil, errors.Wrapf(ErrMalformed, "head: %v", err)
	}
	return head, nil
}

// Missing returns the chunks of head that s does not hold.
func (s Shard) Missing(head *Head) []*ChunkRef {
	var missing []*ChunkRef
	for _, ref := range head.Chunks {
		if _, ok := s.chunk(ref.Name()); !ok {
			missing = append(missing, ref)
		}
	}
	return missing
}

// WithHead returns the shard as of head. bodies holds the chunks that Missing named, by name.
func (s Shard) WithHead(head *Head, bodies map[string][]byte) (Shard, error) {
	next := NewShard(s.limits)
	next.nextSequence = head.NextSequence
	next.forgotten = head.ForgottenUnixMillis
	for _, r := range head.Records {
		if len(r.Key) != fingerprintBytes {
			return Shard{}, errors.Wrap(ErrMalformed, "head: key")
		}
		next.put(Fingerprint(r.Key), r)
	}
	for _, ref := range head.Chunks {
		c, ok := s.chunk(ref.Name())
		if !ok {
			var err error
			if c, err = decodeChunk(ref, bodies[ref.Name()]); err != nil {
				return Shard{}, err
			}
		}
		next.chunks = append(next.chunks, c)
	}
	return next, nil
}

func (s Shard) chunk(name string) (chunk, bool) {
	for _, c := range s.chunks {
		if c.ref.Name() == name {
			return c, true
		}
	}
	return chunk{}, false
}
