package toucanledger

import (
	"maps"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"
)

// ErrMalformed is returned for a stored value that cannot be decoded.
var ErrMalformed = errors.New("ledger: malformed value")

// keyTimeAllowance is the tolerated clock skew of callers.
const keyTimeAllowance = time.Minute

// recordOverheadBytes is the number of bytes that a repeated field adds to an encoded record.
const recordOverheadBytes = 4

// Kind is the kind of an operation.
type Kind int

const (
	// Claim records that an attempt is about to send the order to the endpoint.
	Claim Kind = iota
	// Finish records the outcome.
	Finish
	// Abandon deletes the claim of an attempt that never reached the endpoint.
	Abandon
	// MarkUnknown records that the outcome is lost.
	MarkUnknown
)

// Op is one operation on an order.
type Op struct {
	Kind Kind
	Key  Fingerprint
	// RequestHash is the hash of the request's method, path and body. A repeat must have the same hash.
	RequestHash uint64
	// Attempt is a random non-zero number that identifies the claiming attempt. Only the same attempt can change the
	// order afterwards.
	Attempt uint64
	// Deadline is the time after which the attempt does not send the order. It is set for Claim only.
	Deadline time.Time
	// Created is the creation time of the key if the key contains one, otherwise zero. It is set for Claim only.
	Created time.Time
	// Status and Outcome are set for Finish only.
	Status  int
	Outcome *Outcome
}

// Verdict is the decision on an operation.
type Verdict int

const (
	// Granted means that the attempt owns the order once the shard is committed.
	Granted Verdict = iota
	// InProgress means that another attempt owns the order and its deadline has not passed.
	InProgress
	// Recorded means that the order was executed. The result holds the retained part of its outcome.
	Recorded
	// OutcomeUnknown means that an earlier attempt may have executed the order and its outcome is unknown.
	OutcomeUnknown
	// KeyReused means that the key was used for an order with a different request hash.
	KeyReused
	// KeyExpired means that the key was created in the period whose records have been deleted.
	KeyExpired
	// Full means that the shard has reached a size limit and cannot record the order.
	Full
	// Ignored means that the attempt does not own the order, so the shard is unchanged.
	Ignored
	// Applied means that the order was changed.
	Applied
)

// Result is the result of one Op.
type Result struct {
	Verdict Verdict
	// Changed is true when the operation changed the shard, which must then be committed.
	Changed bool
	// Until is the deadline of the attempt that owns the order. It is set for InProgress only.
	Until time.Time
	// Status and Outcome are those of the first attempt. They are set for Recorded only. Outcome is nil if it is not
	// in the head.
	Status  int
	Outcome *Outcome
	// Chunk refers to the chunk that holds the outcome; nil if the head holds it or it is no longer retained.
	Chunk *ChunkRef
}

// Limits are the size and retention limits of a shard.
type Limits struct {
	// HeadBytes is the size of the records in the head above which claims are refused. Every commit rewrites the head.
	HeadBytes int
	// SealBytes is the size of the closed records in the head above which they are moved to a chunk.
	SealBytes int
	// OutcomeBytes limits the chunks with outcomes in total. Above it, the older half is compacted.
	OutcomeBytes int
	// ShardBytes limits all chunks in total.
	ShardBytes int
	// MinAge is the minimum retention of a record. A full shard refuses new orders rather than delete younger records.
	MinAge time.Duration
	// MaxAge is the maximum retention of a record. Records are deleted by chunk, so the oldest of a chunk are
	// retained longer, by the time in which the chunk filled.
	MaxAge time.Duration
	// PendingAge is the time after its deadline at which an order without an outcome can be closed as unknown.
	PendingAge time.Duration
}

// DefaultLimits returns limits that keep each stored value of a shard below 1 MB, and its chunks near 24 MiB in total.
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

// Shard holds the orders of one shard as of one revision of its head. It is immutable.
type Shard struct {
	limits Limits
	// records are the records in the head. The map and its records are not modified after the shard is built.
	records map[Fingerprint]*Record
	// recordBytes and closedBytes are the encoded sizes of all records and of those that are not pending.
	recordBytes, closedBytes int
	// chunks are ordered from oldest to newest.
	chunks       []chunk
	nextSequence uint64
	// forgotten is the latest claim time in the deleted chunks, in Unix milliseconds; zero if none was deleted.
	forgotten int64
}

// NewShard returns an empty shard.
func NewShard(l Limits) Shard {
	return Shard{limits: l, records: map[Fingerprint]*Record{}}
}

// Len returns the number of orders in the head and the number in the chunks.
func (s Shard) Len() (head, chunks int) {
	for _, c := range s.chunks {
		chunks += len(c.summaries)
	}
	return len(s.records), chunks
}

// ChunkBytes returns the encoded size of all chunks in total.
func (s Shard) ChunkBytes() int {
	var n int
	for _, c := range s.chunks {
		n += int(c.ref.GetBytes())
	}
	return n
}

// Apply applies ops in sequence and returns the resulting shard and one result per operation.
func (s Shard) Apply(ops []Op, now time.Time) (Shard, []Result) {
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
		return repeatResult(r, op, now)
	}
	if result, ok := s.claimSealed(op); ok {
		return result
	}
	if s.predatesRetained(op.Created) {
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

// repeatResult returns the result of a claim whose order is recorded in the head.
func repeatResult(r *Record, op Op, now time.Time) Result {
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

// claimSealed returns the result of a claim whose order is recorded in a chunk, and false if no chunk holds it.
func (s *Shard) claimSealed(op Op) (Result, bool) {
	for i := len(s.chunks) - 1; i >= 0; i-- {
		e, ok := s.chunks[i].find(op.Key)
		if !ok {
			continue
		}
		return e.repeatResult(op, s.chunks[i].ref), true
	}
	return Result{}, false
}

// predatesRetained reports whether a key created at the given time may belong to a deleted record, allowing for the
// clock skew of callers. It is false for a key without a creation time.
func (s *Shard) predatesRetained(created time.Time) bool {
	return !created.IsZero() && s.forgotten > 0 && created.Add(-keyTimeAllowance).UnixMilli() <= s.forgotten
}

// settle closes or abandons an order that the attempt owns. It drops an outcome for which the head has no capacity.
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

func sizeOf(r *Record) int { return proto.Size(r) + recordOverheadBytes }

// Encode returns the encoded head.
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

// DecodeHead decodes a stored head. An empty body decodes to an empty head.
func DecodeHead(body []byte) (*Head, error) {
	head := &Head{}
	if err := proto.Unmarshal(body, head); err != nil {
		return nil, errors.Wrapf(ErrMalformed, "head: %v", err)
	}
	return head, nil
}

// Missing returns the chunks that head refers to and s does not hold.
func (s Shard) Missing(head *Head) []*ChunkRef {
	var missing []*ChunkRef
	for _, ref := range head.Chunks {
		if _, ok := s.chunk(ref.Name()); !ok {
			missing = append(missing, ref)
		}
	}
	return missing
}

// WithHead returns the shard as of head. bodies holds the encoded chunks returned by Missing, by name.
func (s Shard) WithHead(head *Head, bodies map[string][]byte) (Shard, error) {
	next := NewShard(s.limits)
	next.nextSequence = head.NextSequence
	next.forgotten = head.ForgottenUnixMillis
	for _, r := range head.Records {
		if len(r.Key) != fingerprintBytes {
			return Shard{}, errors.Wrap(ErrMalformed, "head: key of a record is not 16 bytes long")
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
