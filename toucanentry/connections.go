package toucanentry

import (
	"container/list"
	"context"
	"net"
	"net/http"
	"sync"
)

// DefaultConnections is the default limit on the callers' open connections.
const DefaultConnections = 4096

// connections limits the number of the callers' connections. A new connection over the limit closes the connection
// that has been idle for the longest time, so that idle or slow callers cannot keep others out. It is safe for
// concurrent use.
type connections struct {
	mu    sync.Mutex
	limit int
	// open maps every open connection to its element of idle, or to nil while a request is being served.
	open map[net.Conn]*list.Element
	// idle lists the connections without a request in service, the longest idle first. It includes connections that
	// are still sending the headers of a request.
	idle *list.List
}

func newConnections(limit int) *connections {
	return &connections{limit: limit, open: make(map[net.Conn]*list.Element), idle: list.New()}
}

type connectionKey struct{}

// withConnection returns a context that holds the connection for markServing.
func (c *connections) withConnection(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, conn)
}

// markServing records that a request is being served on the connection of ctx, so that it is not closed as idle.
func (c *connections) markServing(ctx context.Context) {
	conn, ok := ctx.Value(connectionKey{}).(net.Conn)
	if !ok {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if element := c.open[conn]; element != nil {
		c.idle.Remove(element)
		c.open[conn] = nil
	}
}

// onStateChange is the ConnState callback of the HTTP server.
func (c *connections) onStateChange(conn net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		if surplus := c.add(conn); surplus != nil {
			surplus.Close()
		}
	case http.StateIdle:
		c.markIdle(conn)
	case http.StateClosed, http.StateHijacked:
		c.remove(conn)
	}
}

// add adds conn and returns the connection that must be closed to stay within the limit, or nil. This is conn itself
// if all others are in service.
func (c *connections) add(conn net.Conn) net.Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	var surplus net.Conn
	if len(c.open) >= c.limit {
		surplus = c.removeLongestIdle()
	}
	if len(c.open) >= c.limit && surplus == nil {
		return conn
	}
	c.open[conn] = c.idle.PushBack(conn)
	return surplus
}

// removeLongestIdle removes and returns the connection that has been idle for the longest time, or nil if all are in
// service.
func (c *connections) removeLongestIdle() net.Conn {
	front := c.idle.Front()
	if front == nil {
		return nil
	}
	conn := c.idle.Remove(front).(net.Conn)
	delete(c.open, conn)
	return conn
}

// count returns the number of open connections.
func (c *connections) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.open)
}

func (c *connections) markIdle(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if element, ok := c.open[conn]; ok && element == nil {
		c.open[conn] = c.idle.PushBack(conn)
	}
}

func (c *connections) remove(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if element := c.open[conn]; element != nil {
		c.idle.Remove(element)
	}
	delete(c.open, conn)
}
