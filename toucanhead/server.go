package toucanhead

import (
	"context"
	"net"
	"net/http"
	"slices"
)

// maxServerBytes is the limit of net/http's own on a head, above that of any gate.
const maxServerBytes = 1 << 20

// MaxHeadBytes is the largest limit on one head.
const MaxHeadBytes = maxServerBytes - extraBytes

type connKey struct{}

// Attach makes a server tell the gate about the requests of the gate's connections. It must be called before the server serves, once the
// server's other fields are set. Other connections of the server are not bounded.
func (g *Gate) Attach(s *http.Server) {
	s.MaxHeaderBytes = maxServerBytes
	s.DisableGeneralOptionsHandler = true // It would pass the handler below by.
	s.Handler = serveHead(s.Handler)
	connContext, connState := s.ConnContext, s.ConnState
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if connContext != nil {
			ctx = connContext(ctx, c)
		}
		if hc, ok := c.(*Conn); ok {
			ctx = context.WithValue(ctx, connKey{}, hc)
		}
		return ctx
	}
	s.ConnState = func(c net.Conn, state http.ConnState) {
		if hc, ok := c.(*Conn); ok {
			hc.observe(state)
		}
		if connState != nil {
			connState(c, state)
		}
	}
}

// observe records the server's state of the connection.
func (c *Conn) observe(state http.ConnState) {
	switch state {
	case http.StateIdle:
		c.rest()
	case http.StateHijacked:
		c.mu.Lock()
		c.hijacked = true
		c.mu.Unlock()
	case http.StateClosed:
		if !c.isLingering() {
			_ = c.end() // The call of Close before may have been spared.
		}
	}
}

// serveHead returns a handler that tells a request's connection how long the body is before next serves it, and that it is answered after that.
func serveHead(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*Conn)
		if !ok {
			next.ServeHTTP(w, r)
			return
		}
		c.serve(r.ContentLength, slices.Contains(r.TransferEncoding, "chunked"))
		defer c.finish() // Also after a panic, which cuts the answer: the caller gets what was passed on.
		next.ServeHTTP(w, r)
	})
}
