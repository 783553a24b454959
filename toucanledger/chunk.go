package toucanledger

import (
	"bytes"
	"fmt"
	"slices"
	"sort"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"
)

// maxCompactRecords keeps a compact chunk below 1 MB at about 45 bytes per record.
const maxCompactRecords = 16_000

// chunk is the in-memory index of a stored chunk.
type chunk struct {
	ref *ChunkRef
	// summaries are sorted by key and immutable.
	summaries []recordSummary
}

// recordSummary is a record of a chunk without its outcome. Its size is 32 bytes, which keeps the index of a shard at
// its size limit below 20 MB.
type recordSummary struct {
	key            Fingerprint
	requestHash    uint64
	claimedSeconds uint32
	status         uint16
	state          uint8
}

func newRecordSummary(r *Record) recordSummary {
	return recordSummary{
		key:            Fingerprint(r.Key),
		requestHash:    r.RequestHash,
		claimedSeconds: uint32(r.ClaimedUnixMillis / time.Second.Milliseconds()),
		status:         uint16(r.Status),
		state:          uint8(r.State),
	}
}

func (e recordSummary) record() *Record {
	return &Record{
		Key:               e.key[:],
		RequestHash:       e.requestHash,
		ClaimedUnixMillis: int64(e.claimedSeconds) * time.Second.Milliseconds(),
		Status:            uint32(e.status),
		State:             State(e.state),
	}
}

// repeatResult returns the result of a claim whose order is recorded in a chunk.
func (e recordSummary) repeatResult(op Op, ref *ChunkRef) Result {
	switch {
	case e.requestHash != op.RequestHash:
		return Result{Verdict: KeyReused}
	case State(e.state) != State_FINISHED:
		return Result{Verdict: OutcomeUnknown}
	case ref.Compact:
		return Result{Verdict: Recorded, Status: int(e.status)}
	}
	return Result{Verdict: Recorded, Status: int(e.status), Chunk: ref}
}

func compareSummaries(a, b recordSummary) int { return bytes.Compare(a.key[:], b.key[:]) }

func (c chunk) find(key Fingerprint) (recordSummary, bool) {
	i, ok := slices.BinarySearchFunc(c.summaries, key, func(e recordSummary, key Fingerprint) int {
		return bytes.Compare(e.key[:], key[:])
	})
	if !ok {
		return recordSummary{}, false
	}
	return c.summaries[i], true
}

// Name returns the chunk's name, which is the last part of its key in the store.
func (x *ChunkRef) Name() string {
	return fmt.Sprintf("%012d-%016x", x.GetSequence(), x.GetWriter())
}

// SequenceOfName parses the sequence from a chunk's name. It returns false if the name is malformed.
func SequenceOfName(name string) (uint64, bool) {
	var sequence, writer uint64
	n, err := fmt.Sscanf(name, "%d-%x", &sequence, &writer)
	return sequence, err == nil && n == 2
}

func decodeChunk(ref *ChunkRef, body []byte) (chunk, error) {
	records, err := decodeRecords(body)
	if err != nil {
		return chunk{}, err
	}
	if len(records) != int(ref.Records) {
		return chunk{}, errors.Wrapf(ErrMalformed, "chunk %s: got %d records, want %d", ref.Name(), len(records), ref.Records)
	}
	return newChunk(ref, records), nil
}

func decodeRecords(body []byte) ([]*Record, error) {
	var c Chunk
	if err := proto.Unmarshal(body, &c); err != nil {
		return nil, errors.Wrapf(ErrMalformed, "chunk: %v", err)
	}
	for _, r := range c.Records {
		if len(r.Key) != fingerprintBytes {
			return nil, errors.Wrap(ErrMalformed, "chunk: key of a record is not 16 bytes long")
		}
	}
	return c.Records, nil
}

func newChunk(ref *ChunkRef, records []*Record) chunk {
	summaries := make([]recordSummary, len(records))
	for i, r := range records {
		summaries[i] = newRecordSummary(r)
	}
	slices.SortFunc(summaries, compareSummaries)
	return chunk{ref: ref, summaries: summaries}
}

// OutcomeInChunk returns the outcome of an order from an encoded chunk, or nil if the chunk does not hold it.
func OutcomeInChunk(body []byte, key Fingerprint) (*Outcome, error) {
	records, err := decodeRecords(body)
	if err != nil {
		return nil, err
	}
	for _, r := range records {
		if Fingerprint(r.Key) == key {
			return r.Outcome, nil
		}
	}
	return nil, nil
}

// Maintenance lists the chunks to write and delete along with the head.
type Maintenance struct {
	// Write is the new chunk, which must be created before the head that refers to it is written; nil if none.
	// Body is its value.
	Write *ChunkRef
	Body  []byte
	// Drop lists the chunks to delete after the head that no longer refers to them has been written.
	Drop []*ChunkRef
}

// WithMaintenance seals, compacts and deletes records as the limits require. The returned shard must be committed like
// that of Apply. writer is a random number that makes the name of a new chunk unique.
func (s Shard) WithMaintenance(writer uint64, now time.Time) (Shard, Maintenance, error) {
	var up Maintenance
	var err error
	switch {
	case s.closedBytes > s.limits.SealBytes:
		s, up, err = s.seal(writer, now)
	case s.outcomeBytes() > s.limits.OutcomeBytes:
		s, up, err = s.compact(writer)
	}
	if err != nil {
		return s, up, err
	}
	var dropped []*ChunkRef
	s, dropped = s.expire(now)
	up.Drop = append(up.Drop, dropped...)
	return s, up, nil
}

// seal moves closed records, and pending records more than PendingAge past their deadline, to a new chunk.
func (s Shard) seal(writer uint64, now time.Time) (Shard, Maintenance, error) {
	next := s
	next.records = make(map[Fingerprint]*Record, len(s.records))
	next.recordBytes, next.closedBytes = 0, 0
	var sealed []*Record
	for key, r := range s.records {
		if r.State == State_PENDING && now.Sub(time.UnixMilli(r.DeadlineUnixMillis)) < s.limits.PendingAge {
			next.put(key, r)
			continue
		}
		sealed = append(sealed, closedCopy(r))
	}
	return next.append(writer, sealed, false)
}

func closedCopy(r *Record) *Record {
	state := r.State
	if state == State_PENDING {
		state = State_UNKNOWN
	}
	return &Record{
		Key:               r.Key,
		RequestHash:       r.RequestHash,
		State:             state,
		ClaimedUnixMillis: r.ClaimedUnixMillis,
		Status:            r.Status,
		Outcome:           r.Outcome,
	}
}

// append adds a new chunk with the given records. The shard's chunks stay ordered by the time of their newest claim.
func (s Shard) append(writer uint64, records []*Record, compact bool) (Shard, Maintenance, error) {
	body, err := proto.Marshal(&Chunk{Records: records})
	if err != nil {
		return s, Maintenance{}, errors.Wrap(err, "ledger: encode chunk")
	}
	ref := &ChunkRef{
		Sequence: s.nextSequence,
		Writer:   writer,
		Bytes:    uint32(len(body)),
		Records:  uint32(len(records)),
		Compact:  compact,
	}
	for _, r := range records {
		ref.NewestUnixMillis = max(ref.NewestUnixMillis, r.ClaimedUnixMillis)
	}
	s.nextSequence++
	s.chunks = append(slices.Clone(s.chunks), newChunk(ref, records))
	sort.SliceStable(s.chunks, func(i, j int) bool {
		return s.chunks[i].ref.NewestUnixMillis < s.chunks[j].ref.NewestUnixMillis
	})
	return s, Maintenance{Write: ref, Body: body}, nil
}

func (s Shard) outcomeBytes() int {
	var n int
	for _, c := range s.chunks {
		if !c.ref.Compact {
			n += int(c.ref.Bytes)
		}
	}
	return n
}

// compact merges the oldest chunks with outcomes into one without, until the remaining chunks with outcomes use at
// most half of OutcomeBytes or the merged chunk is full.
func (s Shard) compact(writer uint64) (Shard, Maintenance, error) {
	var records []*Record
	var kept []chunk
	var drop []*ChunkRef
	remaining := s.outcomeBytes()
	for _, c := range s.chunks {
		done := remaining <= s.limits.OutcomeBytes/2 || len(records)+len(c.summaries) > maxCompactRecords
		if c.ref.Compact || (done && len(records) > 0) {
			kept = append(kept, c)
			continue
		}
		remaining -= int(c.ref.Bytes)
		drop = append(drop, c.ref)
		for _, e := range c.summaries {
			records = append(records, e.record())
		}
	}
	s.chunks = kept
	next, up, err := s.append(writer, records, true)
	up.Drop = drop
	return next, up, err
}

// expire drops chunks older than MaxAge. While the chunks exceed ShardBytes, it also drops the oldest chunk if it is
// older than MinAge.
func (s Shard) expire(now time.Time) (Shard, []*ChunkRef) {
	var drop []*ChunkRef
	for len(s.chunks) > 0 {
		oldest := s.chunks[0].ref
		age := now.Sub(time.UnixMilli(oldest.NewestUnixMillis))
		overLimit := s.ChunkBytes() > s.limits.ShardBytes && age > s.limits.MinAge
		if age <= s.limits.MaxAge && !overLimit {
			break
		}
		drop = append(drop, oldest)
		s.forgotten = max(s.forgotten, oldest.NewestUnixMillis)
		s.chunks = s.chunks[1:]
	}
	return s, drop
}
