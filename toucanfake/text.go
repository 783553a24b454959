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
	// promptBytesPerToken is the stand-in's tokenizer: every four bytes of the prompt are one token.
	promptBytesPerToken = 4
	// maxOutputTokens bounds what the default length distribution yields.
	maxOutputTokens = 32768
)

// directive finds `outputTokens=N` and `label=NAME` in a prompt, by which tests steer the stand-in.
var directive = regexp.MustCompile(`\b(outputTokens|label)=([\w.-]+)`)

// promptDirectives are what a prompt asks of the stand-in.
type promptDirectives struct {
	// outputTokens is zero when the prompt leaves the length to the engine.
	outputTokens int
	label        string
}

func parseDirectives(prompt string) promptDirectives {
	var d promptDirectives
	for _, m := range directive.FindAllStringSubmatch(prompt, -1) {
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

// IDHash is the part of a generation id that its token texts carry.
func IDHash(id string) uint32 { return uint32(xxhash.Sum64String(id)) }

// TokenText returns the text that every engine gives token index of generation id.
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

// TokenSource is what a token's text says of its origin.
type TokenSource struct {
	// IDHash is IDHash of the generation id.
	IDHash uint32
	Index  int
}

// ParseTokens splits text into the tokens it was joined from. ok is false when any part is no token text.
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

// SampleOutputTokens draws an output length: mostly tens of tokens, with a tail to tens of thousands.
func SampleOutputTokens(rng *rand.Rand) int {
	const (
		longShare   = 0.06
		briefMedian = 3.6 // natural logarithm of about 37 tokens
		briefSpread = 0.7
		longMinimum = 500
		longIndex   = 1.3
	)
	n := distuv.LogNormal{Mu: briefMedian, Sigma: briefSpread, Src: rng}.Rand()
	if rng.Float64() < longShare {
		n = distuv.Pareto{Xm: longMinimum, Alpha: longIndex, Src: rng}.Rand()
	}
	return min(max(int(n), 1), maxOutputTokens)
}

// seededOutputTokens draws the length for one prompt: equal prompts give equal lengths on every engine.
func seededOutputTokens(seed uint64, prompt string) int {
	return SampleOutputTokens(rand.New(rand.NewPCG(seed, xxhash.Sum64String(prompt))))
}

// blockHashes returns a chained hash for each whole memory block of the prompt.
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
