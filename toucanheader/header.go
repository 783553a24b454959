// Package toucanheader tells the headers that a proxy passes on from those that apply to one connection.
package toucanheader

import (
	"net/http"
	"strings"
)

// hopByHop are the headers that apply to one connection and are not forwarded.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Expect", "Content-Length",
}

// EndToEnd returns a copy of h without the hop-by-hop headers, including those that its Connection header lists.
func EndToEnd(h http.Header) http.Header {
	out := h.Clone()
	for _, value := range h.Values("Connection") {
		for _, name := range splitList(value) {
			out.Del(name)
		}
	}
	for _, name := range hopByHop {
		out.Del(name)
	}
	return out
}

// Copy copies the end-to-end headers of an answer into to, and keeps net/http from guessing a content type that the answer does not have.
func Copy(to, from http.Header) {
	for name, values := range EndToEnd(from) {
		to[name] = values
	}
	if _, ok := to["Content-Type"]; !ok {
		to["Content-Type"] = nil
	}
}

// splitList returns the elements of a comma-separated header value, without spaces and empty elements.
func splitList(value string) []string {
	var names []string
	for _, name := range strings.Split(value, ",") {
		if name = strings.TrimSpace(name); name != "" {
			names = append(names, name)
		}
	}
	return names
}
