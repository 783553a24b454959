package toucanforward

import (
	"io"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"toucanport/toucanquarantine"
)

// fingerprintBytes is the part of a body that its fingerprint holds.
const fingerprintBytes = 256 << 10

// fingerprint returns the part that holds the whole request: its method, path, caller, prompt and body. Two requests with the same
// fingerprint make an engine do the same. Of a long body, it holds the first part and the length.
func (j *job) fingerprint() toucanquarantine.Part {
	if j.wholePart != 0 {
		return j.wholePart
	}
	d := xxhash.New()
	for _, text := range []string{
		j.in.Method, j.in.Host, j.in.RequestURI, j.workspace, j.Key, j.PromptParts, strconv.FormatInt(j.in.ContentLength, 10),
	} {
		_, _ = d.WriteString(strconv.Itoa(len(text)) + ":" + text) // A digest's Write never fails.
	}
	_, _ = io.Copy(d, j.body.Prefix(fingerprintBytes)) // Neither fails.
	j.wholePart = toucanquarantine.Part(max(d.Sum64(), 1))
	return j.wholePart
}
