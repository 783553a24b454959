package toucanforward

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"toucanport/toucanquarantine"
	"toucanport/toucanrate"
)

// testCodec is a minimal codec with one header for each value.
type testCodec struct{}

func (testCodec) Request(h http.Header) (Request, error) {
	if h.Get(headerID) == "" {
		return Request{}, ErrMalformed
	}
	tokens, _ := strconv.Atoi(h.Get(headerTokens))
	r := Request{ID: h.Get(headerID), Key: h.Get("X-Key"), Patience: testTimeout, Prompt: tokens, MaxOutput: tokens}
	r.SharedParts = parseParts(h.Get(headerParts))
	r.LastEvent = h.Get(headerLast)
	return r, nil
}

// parseParts parses parts in the form a.b, each a hexadecimal number.
func parseParts(text string) []toucanquarantine.Part {
	var parts []toucanquarantine.Part
	for _, id := range strings.Split(text, ".") {
		if n, err := strconv.ParseUint(id, 16, 64); err == nil {
			parts = append(parts, toucanquarantine.Part(n))
		}
	}
	return parts
}

func (testCodec) Outgoing(h http.Header, a Attempt) http.Header {
	h.Del("X-Key")
	h.Del(headerLast)
	if a.LastEvent != "" {
		h.Set(headerLast, a.LastEvent)
	}
	h.Set(headerLeft, fmt.Sprint(a.Left <= testTimeout && a.Left > 0))
	if a.Backup != "" {
		h.Set(headerBackup, a.Backup)
	}
	if a.Resume != nil {
		h.Set(headerResume, a.Resume.Handle)
		h.Set(headerLast, a.Resume.LastEvent)
	}
	return h
}

func (testCodec) Belongs(h http.Header, id string) bool {
	return h.Get(headerID) == "" || h.Get(headerID) == id
}

func (testCodec) Answer(_ int, h http.Header, id string) Answer {
	seconds, _ := strconv.ParseFloat(h.Get("Retry-After"), 64)
	return Answer{
		Genuine: h.Get(headerGenuine) != "", NotRun: h.Get(headerNotRun) != "", Named: h.Get(headerID) == id,
		RetryAfter: time.Duration(seconds * float64(time.Second)),
		Leaving:    h.Get(headerLeaving) != "",
		Limit:      toucanrate.ParseNotice(h.Get(headerLimit)),
	}
}
