package toucanfake

import (
	"encoding/binary"
	"math/rand/v2"
	"regexp"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"gonum.org/v1/gonum/stat/distuv"
)

const (
	// promptBytesPerToken defines the fake tokenizer: every four bytes of the prompt are one token.
	promptBytesPerToken = 4
	// maxOutputTokens caps the lengths drawn by SampleOutputTokens.
	maxOutputTokens = 32768
)

// directivePattern matches `outputTokens=N` and `label=NAME` in a prompt. Tests control the fake engine with them.
var directivePattern = regexp.MustCompile(`\b(outputTokens|label)=([\w.-]+)`)

// promptDirectives holds the directives found in a prompt.
type promptDirectives struct {
	// outputTokens is zero when the prompt does not set the length.
	outputTokens int
	label        string
}

func parseDirectives(prompt string) promptDirectives {
	var d promptDirectives
	for _, m := range directivePattern.FindAllStringSubmatch(prompt, -1) {
		if m[1] == "label" {
			d.label = m[2]
			continue
		}
		if n, err := strconv.Atoi(m[2]); err == nil {
			d.outputTokens = n
		}
	}
	return d
}

// IDHash returns the hash of a generation id that is part of the text of its tokens.
func IDHash(id string) uint32 { return uint32(xxhash.Sum64String(id)) }

// TokenText returns the text of the token with the given index in generation id. It is the same on every engine.
func TokenText(id string, index int) string {
	return tokenText(IDHash(id), index)
}

func tokenText(hash uint32, index int) string {
	b := make([]byte, 0, 16)
	b = append(b, ' ')
	b = strconv.AppendUint(b, uint64(hash), 16)
	b = append(b, '.')
	b = strconv.AppendInt(b, int64(index), 10)
	return string(b)
}

// TokenSource identifies a token: the generation that it belongs to and its index.
type TokenSource struct {
	// IDHash is IDHash of the generation id.
	IDHash uint32
	Index  int
}

// ParseTokens splits concatenated token texts into tokens. If a part is not a token text, it returns the tokens
// before it and false.
func ParseTokens(text string) (tokens []TokenSource, ok bool) {
	for part := range strings.FieldsSeq(text) {
		hash, index, found := strings.Cut(part, ".")
		h, errHash := strconv.ParseUint(hash, 16, 32)
		i, errIndex := strconv.Atoi(index)
		if !found || errHash != nil || errIndex != nil {
			return tokens, false
		}
		tokens = append(tokens, TokenSource{IDHash: uint32(h), Index: i})
	}
	return tokens, true
}

// SampleOutputTokens draws an output length, in tokens. Most lengths are tens of tokens (lognormal); the share
// longShare has a heavy tail up to tens of thousands (Pareto).
func SampleOutputTokens(rng *rand.Rand) int {
	const (
		longShare        = 0.06
		shortLogMean     = 3.6 // natural logarithm of about 37 tokens
		shortLogSpread   = 0.7
		longMinTokens    = 500
		longTailExponent = 1.3
	)
	n := distuv.LogNormal{Mu: shortLogMean, Sigma: shortLogSpread, Src: rng}.Rand()
	if rng.Float64() < longShare {
		n = distuv.Pareto{Xm: longMinTokens, Alpha: longTailExponent, Src: rng}.Rand()
	}
	return min(max(int(n), 1), maxOutputTokens)
}

// seededOutputTokens draws the output length for a prompt. It depends only on the seed and the prompt, so engines
// with the same seed produce outputs of the same length.
func seededOutputTokens(seed uint64, prompt string) int {
	return SampleOutputTokens(rand.New(rand.NewPCG(seed, xxhash.Sum64String(prompt))))
}

// blockHashes returns a hash for each full block of the prompt. Each hash covers all blocks up to its own.
func blockHashes(prompt string, blockTokens int) []uint64 {
	size := blockTokens * promptBytesPerToken
	hashes := make([]uint64, 0, len(prompt)/size)
	var d xxhash.Digest
	d.Reset()
	var link [8]byte
	for len(prompt) >= size {
		binary.LittleEndian.PutUint64(link[:], d.Sum64())
		_, _ = d.Write(link[:])
		_, _ = d.WriteString(prompt[:size])
		hashes = append(hashes, d.Sum64())
		prompt = prompt[size:]
	}
	return hashes
}
