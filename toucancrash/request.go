package toucancrash

import (
	"io"
	"net/http"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"toucanport/toucanbody"
	"toucanport/toucanquarantine"
)

// fingerprintBytes is the part of a body that its fingerprint holds.
const fingerprintBytes = 256 << 10

// Ender ends a request with a cause.
type Ender interface{ End(cause error) }

// Spec is what is known of a request.
type Spec struct {
	ID, Route, Service, Workspace string
	// Key and PromptParts are what the caller sent as its credential and as the list of all parts of its prompt.
	Key, PromptParts string
	// SharedParts are the parts of the prompt that other requests can have too.
	SharedParts []toucanquarantine.Part
	In          *http.Request
	Body        *toucanbody.Body
	Ender       Ender
}

// Request is a request that may end engines. Only the request's own goroutine changes it. It must not be copied once Watch has it.
type Request struct {
	spec Spec
	// brokenStarts counts the connections to endpoints that broke before the request was proven. Without shared parts, only
	// those to endpoints that have ended count.
	brokenStarts int
	// whole caches fingerprint; zero until it was needed.
	whole toucanquarantine.Part
	// all caches parts; nil until it was needed.
	all []toucanquarantine.Part
	// proven is true once an engine has answered so far that the request can't be what ends engines.
	proven bool
}

// NewRequest returns a request that no engine has begun.
func NewRequest(spec Spec) Request { return Request{spec: spec} }

// IsProven reports whether an engine has answered so far that the request can't be what ends engines.
func (r *Request) IsProven() bool { return r.proven }

// parts returns the parts by which a request can be quarantined: the shared parts of its prompt and, as the last, the request as a
// whole.
func (r *Request) parts() []toucanquarantine.Part {
	if r.all == nil {
		r.all = append(slices.Clip(r.spec.SharedParts), r.fingerprint())
	}
	return r.all
}

// fingerprint returns the part that holds the whole request: its method, path, caller, prompt and body. Two requests with the same
// fingerprint make an engine do the same. Of a long body, it holds the first part and the length.
func (r *Request) fingerprint() toucanquarantine.Part {
	if r.whole != 0 {
		return r.whole
	}
	d, in := xxhash.New(), r.spec.In
	for _, text := range []string{
		in.Method, in.Host, in.RequestURI, r.spec.Workspace, r.spec.Key, r.spec.PromptParts, strconv.FormatInt(in.ContentLength, 10),
	} {
		_, _ = d.WriteString(strconv.Itoa(len(text)) + ":" + text) // A digest's Write never fails.
	}
	_, _ = io.Copy(d, r.spec.Body.Prefix(fingerprintBytes)) // Neither fails.
	r.whole = toucanquarantine.Part(max(d.Sum64(), 1))
	return r.whole
}
