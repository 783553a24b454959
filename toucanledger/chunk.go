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

// maxCompactRecords keeps a compact chunk, at about 45 bytes a record, below a megabyte.
const maxCompactRecords = 16_000

// chunk is what is kept in memory of a sealed chunk.
type chunk struct {
	ref *ChunkRef
	// entries are sorted by key and never change.
	entries []entry
}

// entry is 32 bytes, so that the index of a shard at its bound stays below 20 MB.
type entry struct {
	key            Fingerprint
	requestHash    uint64
	claimedSeconds uint32
	status         uint16
	state          uint8
}

func newEntry(r *Record) entry {
	return entry{
		key:            Fingerprint(r.Key),
		requestHash:    r.RequestHash,
		claimedSeconds: uint32(r.ClaimedUnixMillis / time.Second.Milliseconds()),
		status:         uint16(r.Status),
		state:          uint8(r.State),
	}
}

func (e entry) record() *Record {
	return &Record{
		Key:               e.key[:],
		RequestHash:       e.requestHash,
		ClaimedUnixMillis: int64(e.claimedSeconds) * time.Second.Milliseconds(),
		Status:            uint32(e.status),
		State:             State(e.state),
	}
}

// repeat answers a claim of a sealed order.
func (e entry) repeat(op Op, ref *ChunkRef) Result {
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

func compareEntries(a, b entry) int { return bytes.Compare(a.key[:], b.key[:]) }

func (c chunk) find(key Fingerprint) (entry, bool) {
	i, ok := slices.BinarySearchFunc(c.entries, key, func(e entry, key Fingerprint) int {
		return bytes.Compare(e.key[:], key[:])
	})
	if !ok {
		return entry{}, false
	}
	return c.entries[i], true
}

// Name returns the last part of the chunk's key in the store.
func (x *ChunkRef) Name() string {
	return fmt.Sprintf("%012d-%016x", x.GetSequence(), x.GetWriter())
}

// SequenceOfName returns the sequence in a chunk's name.
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
		return chunk{}, errors.Wrapf(ErrMalformed, "chunk %s: %d records instead of %d", ref.Name(), len(records), ref.Records)
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
			return nil, errors.Wrap(ErrMalformed, "chunk: key")
		}
	}
	return c.Records, nil
}

func newChunk(ref *ChunkRef, records []*Record) chunk {
	entries := make([]entry, len(records))
	for i, r := range records {
		entries[i] = newEntry(r)
	}
	slices.SortFunc(entries, compareEntries)
	return chunk{ref: ref, entries: entries}
}

// OutcomeInChunk returns the outcome of an order from a stored chunk, or nil if it is not there.
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

// Upkeep is what has to be done in the store besides writing the head.
type Upkeep struct {
	// Write is to be created under its name before the head that refers to it; nil for none.
	Write *ChunkRef
	Body  []byte
	// Drop names chunks to be deleted after the head that no longer refers to them.
	Drop []*ChunkRef
}

// WithUpkeep seals, compacts or drops what the limits ask for. Its result is committed like that of With. writer
// is a random number that makes the name of a new chunk unique.
func (s Shard) WithUpkeep(writer uint64, now time.Time) (Shard, Upkeep, error) {
	var up Upkeep
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

// seal moves closed records, and pending ones that were given up long ago, to a chunk.
func (s Shard) seal(writer uint64, now time.Time) (Shard, Upkeep, error) {
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

// append adds a chunk of records to the shard's list, ordered by age with the others.
func (s Shard) append(writer uint64, records []*Record, compact bool) (Shard, Upkeep, error) {
	body, err := proto.Marshal(&Chunk{Records: records})
	if err != nil {
		return s, Upkeep{}, errors.Wrap(err, "ledger: encode chunk")
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
	return s, Upkeep{Write: ref, Body: body}, nil
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

// compact joins the oldest chunks with outcomes into one without, until half of their bytes are gone.
func (s Shard) compact(writer uint64) (Shard, Upkeep, error) {
	var records []*Record
	var kept []chunk
	var drop []*ChunkRef
	left := s.outcomeBytes()
	for _, c := range s.chunks {
		done := left <= s.limits.OutcomeBytes/2 || len(records)+len(c.entries) > maxCompactRecords
		if c.ref.Compact || (done && len(records) > 0) {
			kept = append(kept, c)
			continue
		}
		left -= int(c.ref.Bytes)
		drop = append(drop, c.ref)
		for _, e := range c.entries {
			records = append(records, e.record())
		}
	}
	s.chunks = kept
	next, up, err := s.append(writer, records, true)
	up.Drop = drop
	return next, up, err
}

// expire drops the oldest chunks that are too old, or too many once they have reached the least age.
func (s Shard) expire(now time.Time) (Shard, []*ChunkRef) {
	var drop []*ChunkRef
	for len(s.chunks) > 0 {
		oldest := s.chunks[0].ref
		age := now.Sub(time.UnixMilli(oldest.NewestUnixMillis))
		tooMany := s.ChunkBytes() > s.limits.ShardBytes && age > s.limits.MinAge
		if age <= s.limits.MaxAge && !tooMany {
			break
		}
		drop = append(drop, oldest)
		s.forgotten = max(s.forgotten, oldest.NewestUnixMillis)
		s.chunks = s.chunks[1:]
	}
	return s, drop
}
