package toucanfake_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"toucanport/toucanbubble"
	"toucanport/toucanengine"
	"toucanport/toucanfake"
	"toucanport/toucanrig"
)

const engineAddress = "10.0.0.1:9000"

// fixture is an engine and its client, connected by an in-memory network.
type fixture struct {
	network *toucanrig.Network
	ledger  *toucanfake.Ledger
	engine  *toucanfake.Engine
	client  *toucanengine.Client
}

func runEngine(t *testing.T, cfg toucanfake.Config, f func(*testing.T, *fixture)) {
	toucanbubble.Test(t, func(t *testing.T) {
		b := &fixture{network: toucanrig.NewNetwork(), ledger: toucanfake.NewLedger()}
		b.engine = toucanfake.NewEngine(cfg, b.ledger)
		ln, err := b.network.Listen(engineAddress)
		assert.NilError(t, err)
		ended := make(chan error, 1)
		go func() { ended <- b.engine.Run(t.Context(), ln) }()
		dial := b.network.Dialer("10.0.0.2:1")
		tr := &http.Transport{DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			return dial(ctx, address)
		}}
		b.client = toucanengine.New("http://"+engineAddress, toucanengine.WithTransport(tr))
		f(t, b)
		tr.CloseIdleConnections()
		b.engine.Kill()
		assert.NilError(t, <-ended)
	})
}

// readStream reads a stream to its end and returns its tokens and last batch. It fails if the tokens are not
// numbered consecutively from first.
func readStream(s toucanengine.Stream, first int) ([]string, toucanengine.Batch, error) {
	defer s.Close()
	var tokens []string
	var last toucanengine.Batch
	for {
		b, err := s.Next()
		if errors.Is(err, io.EOF) {
			return tokens, last, nil
		}
		if err != nil {
			return tokens, last, err
		}
		if b.FirstIndex != first+len(tokens) {
			return tokens, b, fmt.Errorf("batch begins at %d after %d tokens from %d", b.FirstIndex, len(tokens), first)
		}
		tokens, last = append(tokens, b.Text...), b
	}
}

func expectedTokens(id string, from, to int) []string {
	var tokens []string
	for i := from; i < to; i++ {
		tokens = append(tokens, toucanfake.TokenText(id, i))
	}
	return tokens
}

func newRequest(id string, outputTokens int) toucanengine.Request {
	return toucanengine.Request{ID: id, Prompt: fmt.Appendf(nil, "outputTokens=%d label=%s", outputTokens, id)}
}

func TestGenerateStreamsAllTokens(t *testing.T) {
	runEngine(t, toucanfake.DefaultConfig("a"), func(t *testing.T, b *fixture) {
		s, err := b.client.Generate(t.Context(), newRequest("g1", 300))
		assert.NilError(t, err)
		tokens, last, err := readStream(s, 0)
		assert.NilError(t, err)
		assert.DeepEqual(t, tokens, expectedTokens("g1", 0, 300))
		assert.Equal(t, last.Finish, toucanengine.FinishStop)
		assert.Equal(t, last.PromptTokens, 7)
		got, ok := toucanfake.ParseTokens(strings.Join(tokens, ""))
		assert.Assert(t, ok)
		assert.Equal(t, got[299], toucanfake.TokenSource{IDHash: toucanfake.IDHash("g1"), Index: 299})
	})
}

func TestGenerateStopsAtMaxTokens(t *testing.T) {
	runEngine(t, toucanfake.DefaultConfig("a"), func(t *testing.T, b *fixture) {
		r := newRequest("g1", 300)
		r.MaxTokens = 20
		r.Parameters = []byte(`{"temperature":0.5,"max_tokens":1000}`)
		s, err := b.client.Generate(t.Context(), r)
		assert.NilError(t, err)
		tokens, last, err := readStream(s, 0)
		assert.NilError(t, err)
		assert.Equal(t, len(tokens), 20)
		assert.Equal(t, last.Finish, toucanengine.FinishLength)
	})
}

func TestResumeAfterConnectionCut(t *testing.T) {
	runEngine(t, toucanfake.DefaultConfig("a"), func(t *testing.T, b *fixture) {
		s, err := b.client.Generate(t.Context(), newRequest("g1", 200))
		assert.NilError(t, err)
		time.AfterFunc(2*time.Second, func() {
			b.network.Cut(toucanrig.LinkName{From: toucanrig.Any, To: engineAddress})
		})
		first, _, err := readStream(s, 0)
		assert.ErrorIs(t, err, toucanengine.ErrInterrupted)
		assert.Assert(t, len(first) > 0 && len(first) < 200)
		s, err = b.client.Resume(t.Context(), "g1", len(first))
		assert.NilError(t, err)
		rest, _, err := readStream(s, len(first))
		assert.NilError(t, err)
		assert.DeepEqual(t, append(first, rest...), expectedTokens("g1", 0, 200))
		_, err = b.client.Resume(t.Context(), "g2", 0)
		assert.ErrorIs(t, err, toucanengine.ErrUnknownGeneration)
	})
}

func TestRepeatedRequestIDRunsOnce(t *testing.T) {
	runEngine(t, toucanfake.DefaultConfig("a"), func(t *testing.T, b *fixture) {
		for range 3 {
			s, err := b.client.Generate(t.Context(), newRequest("g1", 50))
			assert.NilError(t, err)
			tokens, _, err := readStream(s, 0)
			assert.NilError(t, err)
			assert.DeepEqual(t, tokens, expectedTokens("g1", 0, 50))
		}
		assert.Equal(t, len(b.ledger.Generations()), 1)
	})
}

func TestCancelFreesMemory(t *testing.T) {
	runEngine(t, toucanfake.DefaultConfig("a"), func(t *testing.T, b *fixture) {
		s, err := b.client.Generate(t.Context(), newRequest("g1", 5000))
		assert.NilError(t, err)
		time.Sleep(time.Second)
		assert.Assert(t, b.engine.Report().UsedBlocks > 0)
		assert.NilError(t, b.client.Cancel(t.Context(), "g1"))
		assert.Equal(t, b.engine.Report().UsedBlocks, 0)
		_, _, err = readStream(s, 0)
		assert.ErrorIs(t, err, toucanengine.ErrInterrupted)
		assert.ErrorIs(t, b.client.Cancel(t.Context(), "g2"), toucanengine.ErrUnknownGeneration)
		s, err = b.client.Generate(t.Context(), newRequest("g2", 10))
		assert.NilError(t, err)
		_, _, err = readStream(s, 0)
		assert.ErrorIs(t, err, toucanengine.ErrInterrupted)
		assert.Assert(t, cmp.Len(b.ledger.Generations(), 1))
	})
}

func TestFullMemoryPreemptsLowestPriority(t *testing.T) {
	cfg := toucanfake.DefaultConfig("a")
	cfg.Blocks = 64
	runEngine(t, cfg, func(t *testing.T, b *fixture) {
		type result struct {
			id     string
			tokens []string
			err    error
		}
		results := make(chan result)
		for i := range 4 {
			r := newRequest(fmt.Sprint("g", i), 400)
			r.Priority = i
			go func() {
				s, err := b.client.Generate(t.Context(), r)
				if err != nil {
					results <- result{err: err}
					return
				}
				tokens, _, err := readStream(s, 0)
				results <- result{r.ID, tokens, err}
			}()
		}
		var order []string
		for range 4 {
			r := <-results
			assert.NilError(t, r.err)
			assert.DeepEqual(t, r.tokens, expectedTokens(r.id, 0, 400))
			order = append(order, r.id)
		}
		assert.Assert(t, b.ledger.Preemptions() > 0)
		assert.Equal(t, order[3], "g0")
	})
}

func TestFaults(t *testing.T) {
	for _, f := range toucanfake.Faults() {
		t.Run(string(f), func(t *testing.T) {
			runEngine(t, toucanfake.DefaultConfig("a"), func(t *testing.T, b *fixture) {
				s, err := b.client.Generate(t.Context(), newRequest("g1", 1000))
				assert.NilError(t, err)
				time.AfterFunc(time.Second, func() { assert.Check(t, b.engine.Inject(f)) })
				time.AfterFunc(15*time.Second, b.engine.Heal)
				tokens, _, err := readStream(s, 0)
				assert.DeepEqual(t, tokens, expectedTokens("g1", 0, len(tokens)))
				if f == toucanfake.FaultDead || f == toucanfake.FaultReclaimed {
					assert.ErrorIs(t, err, toucanengine.ErrInterrupted)
					time.Sleep(time.Second)
					_, err = b.client.Generate(t.Context(), newRequest("g2", 1))
					assert.ErrorIs(t, err, toucanengine.ErrNotSent)
					return
				}
				assert.NilError(t, err)
				assert.Equal(t, len(tokens), 1000)
			})
		})
	}
}

func TestOldFencingNumberIsRefusedOnlyWhenChecked(t *testing.T) {
	for _, checks := range []bool{true, false} {
		t.Run(fmt.Sprint(checks), func(t *testing.T) {
			cfg := toucanfake.DefaultConfig("a")
			cfg.ChecksFencing = checks
			cfg.Weights = toucanfake.NewWeightStore(time.Minute, 10*time.Second)
			runEngine(t, cfg, func(t *testing.T, b *fixture) {
				order := toucanengine.Order{Kind: toucanengine.OrderLoadModel, Argument: "v2", Fence: 7}
				begin := time.Now()
				assert.NilError(t, b.client.Order(t.Context(), order))
				assert.Equal(t, time.Since(begin), 10*time.Second)
				err := b.client.Order(t.Context(), toucanengine.Order{Kind: toucanengine.OrderSetRole, Fence: 6})
				if checks {
					assert.ErrorIs(t, err, toucanengine.ErrFenced)
					assert.Assert(t, cmp.Len(b.ledger.Orders(), 1))
					return
				}
				assert.NilError(t, err)
				assert.Assert(t, cmp.Len(b.ledger.Orders(), 2))
			})
		})
	}
}

func TestLaggingReportsAndCacheEvents(t *testing.T) {
	cfg := toucanfake.DefaultConfig("a")
	cfg.PrefixBlocks = 4
	runEngine(t, cfg, func(t *testing.T, b *fixture) {
		_, err := b.client.Report(t.Context())
		assert.NilError(t, err)
		for i := range 60 {
			r := newRequest(fmt.Sprint("g", i), 3)
			r.Prompt = fmt.Appendf(r.Prompt, " %064d", i)
			r.PrefixHash = uint64(i + 1)
			s, err := b.client.Generate(t.Context(), r)
			assert.NilError(t, err)
			_, _, err = readStream(s, 0)
			assert.NilError(t, err)
		}
		rep, err := b.client.Report(t.Context())
		assert.NilError(t, err)
		assert.Assert(t, time.Since(rep.At) >= cfg.ReportLag)
		time.Sleep(cfg.CacheEventLag)
		events, err := b.client.CacheEvents(t.Context(), 0)
		assert.NilError(t, err)
		last := events[len(events)-1].Sequence
		assert.Assert(t, uint64(len(events)) < last, "some of %d events are lost", last)
		events, err = b.client.CacheEvents(t.Context(), last)
		assert.NilError(t, err)
		assert.Assert(t, cmp.Len(events, 0))
	})
}
