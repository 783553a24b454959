package toucanentry

import (
	"container/list"
	"context"
	"net"
	"net/http"
	"sync"
)

// DefaultConnections bounds callers' open connections.
const DefaultConnections = 4096

// connections bounds the callers' connections. When there are too many, the one that has been without a request
// longest is closed, so that idle or slow callers never keep others out.
type connections struct {
	mu    sync.Mutex
	bound int
	// open has every open connection, with its place in waiting or nil while a request is being served.
	open map[net.Conn]*list.Element
	// waiting has the connections without a request in service, longest first. Those that are still sending the
	// headers of one are among them.
	waiting *list.List
}

func newConnections(bound int) *connections {
	return &connections{bound: bound, open: make(map[net.Conn]*list.Element), waiting: list.New()}
}

type connectionKey struct{}

// context makes the connection known to serving.
func (c *connections) context(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, conn)
}

// serving records that a request of the connection has arrived whole up to its body.
func (c *connections) serving(ctx context.Context) {
	conn, ok := ctx.Value(connectionKey{}).(net.Conn)
	if !ok {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if place := c.open[conn]; place != nil {
		c.waiting.Remove(place)
		c.open[conn] = nil
	}
}

// changed follows the states of the HTTP server's connections.
func (c *connections) changed(conn net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		if surplus := c.add(conn); surplus != nil {
			surplus.Close()
		}
	case http.StateIdle:
		c.wait(conn)
	case http.StateClosed, http.StateHijacked:
		c.remove(conn)
	}
}

// add returns the connection that must be closed to keep the bound, if any.
func (c *connections) add(conn net.Conn) net.Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	var surplus net.Conn
	if len(c.open) >= c.bound {
		surplus = c.oldest()
	}
	if len(c.open) >= c.bound && surplus == nil {
		return conn
	}
	c.open[conn] = c.waiting.PushBack(conn)
	return surplus
}

// oldest forgets and returns the connection that has waited longest; nil when all are being served.
func (c *connections) oldest() net.Conn {
	front := c.waiting.Front()
	if front == nil {
		return nil
	}
	conn := c.waiting.Remove(front).(net.Conn)
	delete(c.open, conn)
	return conn
}

func (c *connections) wait(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if place, ok := c.open[conn]; ok && place == nil {
		c.open[conn] = c.waiting.PushBack(conn)
	}
}

func (c *connections) remove(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if place := c.open[conn]; place != nil {
		c.waiting.Remove(place)
	}
	delete(c.open, conn)
}
