package toucanstream

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
)

var (
	// ErrGap is returned when tokens are appended or read beyond the next index.
	ErrGap = errors.New("tokens are missing before these")
	// ErrDropped is returned when a reader requests tokens that were dropped to free buffer capacity.
	ErrDropped = errors.New("tokens were dropped from the buffer")
	// ErrEnded is returned when tokens are appended after the end.
	ErrEnded = errors.New("generation has ended")
)

// End is the final state of a generation.
type End struct {
	// FinishReason is "stop" or "length" for a complete generation and empty for a failed one.
	FinishReason string
	PromptTokens int
	// Failure is the refusal code of a generation that could not be completed.
	Failure string
	Message string
	// RetryAfter is the suggested delay before a retry after a failure; zero if there is no suggestion.
	RetryAfter time.Duration
}

// Complete reports whether the generation ended without a failure.
func (e End) Complete() bool { return e.Failure == "" }

// Chunk is a sequence of consecutive tokens, with the end if it follows them.
type Chunk struct {
	First int
	Text  []string
	// End is nil while more tokens may follow.
	End *End
}

// Buffer holds the tokens of one generation between the engine that writes them and the callers that read them. It is
// safe for concurrent use by one writer and any number of readers.
type Buffer struct {
	pool *Pool
	// maxBytes is the maximum size of the buffer, counting the text and tokenOverheadBytes per token.
	maxBytes int

	mu sync.Mutex
	// first is the index of text[0].
	first int
	text  []string
	bytes int
	// delivered is the index after the last token returned to a reader. Tokens before it can be dropped.
	delivered int
	end       *End
	// changed is closed on the next change; nil if there is no waiter.
	changed chan struct{}
}

// NewBuffer returns a buffer whose next token has index first. It holds at most bound bytes, or one larger token.
func NewBuffer(pool *Pool, first, bound int) *Buffer {
	return &Buffer{pool: pool, maxBytes: bound, first: first, delivered: first}
}

// Next returns the index of the token that the writer should append next.
func (b *Buffer) Next() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.next()
}

// First returns the index of the oldest token that the buffer holds.
func (b *Buffer) First() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.first
}

func (b *Buffer) next() int { return b.first + len(b.text) }

// Append adds tokens starting at index first, and returns the number added. It ignores tokens that the buffer already
// has. It waits while the buffer or the pool is full and no tokens delivered to a reader can be dropped.
func (b *Buffer) Append(ctx context.Context, first int, text []string) (int, error) {
	added := 0
	for i, t := range text {
		n, err := b.appendOne(ctx, first+i, t)
		if err != nil {
			return added, err
		}
		added += n
	}
	b.mu.Lock()
	b.notify()
	b.mu.Unlock()
	return added, nil
}

func (b *Buffer) appendOne(ctx context.Context, index int, text string) (int, error) {
	for {
		n, wait, err := b.tryAppend(index, text)
		if err != nil || wait == nil {
			return n, err
		}
		select {
		case <-wait.buffer:
		case <-wait.pool:
		case <-ctx.Done():
			return 0, ctx.Err()
		}
	}
}

// capacitySignal holds channels to wait on: one is closed when there may be capacity for another token.
type capacitySignal struct{ buffer, pool <-chan struct{} }

// tryAppend adds one token, or returns a signal to wait for if there is no capacity.
func (b *Buffer) tryAppend(index int, text string) (int, *capacitySignal, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case b.end != nil:
		return 0, nil, ErrEnded
	case index < b.next():
		return 0, nil, nil
	case index > b.next():
		return 0, nil, errors.Wrapf(ErrGap, "token %d follows %d", index, b.next()-1)
	}
	size := len(text) + tokenOverheadBytes
	if b.bytes+size > b.maxBytes {
		b.dropDelivered(size)
	}
	if b.bytes+size > b.maxBytes && len(b.text) > 0 {
		b.notify()
		return 0, &capacitySignal{buffer: b.wait()}, nil
	}
	if b.pool.reserve(size) != nil {
		b.dropDelivered(size)
		if freed := b.pool.reserve(size); freed != nil {
			b.notify()
			return 0, &capacitySignal{buffer: b.wait(), pool: freed}, nil
		}
	}
	b.text = append(b.text, text)
	b.bytes += size
	return 1, nil, nil
}

// dropDelivered drops delivered tokens until size bytes are freed or none is left.
func (b *Buffer) dropDelivered(size int) {
	n, freed := 0, 0
	for n < len(b.text) && b.first+n < b.delivered && freed < size {
		freed += len(b.text[n]) + tokenOverheadBytes
		n++
	}
	clear(b.text[:n])
	b.text = b.text[n:]
	b.first += n
	b.bytes -= freed
	b.pool.release(freed)
}

// Finish sets the end of the generation. Only the first call has an effect.
func (b *Buffer) Finish(end End) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.end != nil {
		return
	}
	b.end = &end
	b.notify()
}

// Ended returns the end, or nil while the generation runs.
func (b *Buffer) Ended() *End {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.end
}

// Delivered returns the index after the last token returned to a reader.
func (b *Buffer) Delivered() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.delivered
}

// Read waits for tokens starting at index from and returns at most limit of them. The end is returned with the chunk
// that holds the last token, or in an empty chunk.
func (b *Buffer) Read(ctx context.Context, from, limit int) (Chunk, error) {
	for {
		chunk, wait, err := b.tryRead(from, limit)
		if err != nil || wait == nil {
			return chunk, err
		}
		select {
		case <-wait:
		case <-ctx.Done():
			return Chunk{}, ctx.Err()
		}
	}
}

func (b *Buffer) tryRead(from, limit int) (Chunk, <-chan struct{}, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if from < b.first {
		return Chunk{}, nil, errors.Wrapf(ErrDropped, "token %d, the oldest kept is %d", from, b.first)
	}
	if from > b.next() {
		return Chunk{}, nil, errors.Wrapf(ErrGap, "token %d, the next is %d", from, b.next())
	}
	if from == b.next() && b.end == nil {
		return Chunk{}, b.wait(), nil
	}
	start := from - b.first
	stop := min(start+limit, len(b.text))
	chunk := Chunk{First: from, Text: append([]string(nil), b.text[start:stop]...)}
	if stop == len(b.text) {
		chunk.End = b.end
	}
	if b.first+stop > b.delivered {
		b.delivered = b.first + stop
		b.notify()
	}
	return chunk, nil, nil
}

// Discard drops all tokens and returns their bytes to the pool. It ends a running generation as cancelled. The buffer
// must not be read afterwards.
func (b *Buffer) Discard() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.first = b.next()
	b.text = nil
	b.pool.release(b.bytes)
	b.bytes = 0
	if b.end == nil {
		b.end = &End{Failure: "cancelled"}
	}
	b.notify()
}

// wait returns a channel that is closed on the next change. The lock must be held.
func (b *Buffer) wait() <-chan struct{} {
	if b.changed == nil {
		b.changed = make(chan struct{})
	}
	return b.changed
}

func (b *Buffer) notify() {
	if b.changed == nil {
		return
	}
	close(b.changed)
	b.changed = nil
}

// tokenOverheadBytes is counted for each token in addition to its text.
const tokenOverheadBytes = 16

// Pool limits the total bytes of all buffers of one sidecar. It is safe for concurrent use.
type Pool struct {
	mu    sync.Mutex
	free  int
	freed chan struct{}
}

// NewPool returns a pool of the given size in bytes.
func NewPool(bytes int) *Pool { return &Pool{free: bytes} }

// Free returns the bytes that are not reserved.
func (p *Pool) Free() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.free
}

// reserve takes n bytes and returns nil. If they are not free, it takes none and returns a channel that is closed when
// bytes are released.
func (p *Pool) reserve(n int) <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.free >= n {
		p.free -= n
		return nil
	}
	if p.freed == nil {
		p.freed = make(chan struct{})
	}
	return p.freed
}

func (p *Pool) release(n int) {
	if n == 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.free += n
	if p.freed != nil {
		close(p.freed)
		p.freed = nil
	}
}
