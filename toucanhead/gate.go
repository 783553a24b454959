// Package toucanhead bounds what the heads of requests take before net/http parses them. A parsed head takes many times its bytes if
// its lines are short, so that callers that nobody controls can take the memory of a process with requests of legal size. A Gate counts
// the bytes and the lines of each head as they are read, bounds them for one head and for all together, and bounds the connections, so
// that those without a whole request make room for those with one.
package toucanhead

import (
	"net"
	"slices"
	"sync"

	"github.com/pkg/errors"

	"toucanport/toucanbody"
)

const (
	// byteWeight and lineWeight are the memory in bytes that a byte and a line of a head take, parsed and passed on.
	byteWeight, lineWeight = 3, 256
	// freeWeight is the weight of a head that needs no memory: one of 4 KB in 40 lines.
	freeWeight = 4<<10*byteWeight + 40*lineWeight
	// connectionWeight is the memory in bytes that a connection takes whose request is not whole.
	connectionWeight = 16 << 10
	// minLine is the length in bytes of the shortest header line that net/http takes.
	minLine = 3
	// extraBytes is by how much a head may exceed its limit, as in net/http, since callers count differently.
	extraBytes = 4 << 10
)

// weight returns the memory in bytes that a head takes.
func weight(bytes, lines int) int { return bytes*byteWeight + lines*lineWeight }

// errFull means that there are too many requests in service.
var errFull = errors.New("too many requests in service")

// Limits are the limits of a Gate.
type Limits struct {
	// HeadBytes returns the limit in bytes on one head at this moment. It must be positive.
	HeadBytes func() int
	// MemoryBytes is the memory for all heads together while they are read and until their requests end, once more for the connections
	// whose request is not whole, and once more for those that linger after an answer that came before the end of the body. The largest
	// head by the limit at the gate's creation has room in any case.
	MemoryBytes int
	// Connections is the number of connections, with one to another process for each request in service; zero means no limit.
	Connections int
	// BodyBytes returns the length in bytes of the longest body that callers may send, at this moment. What is left of a body after an
	// answer that came before its end is read up to that length; defaultBodyBytes if it is nil or returns zero.
	BodyBytes func() int64
	// Others returns the number of connections to other processes; nil if only the requests in service have some.
	Others func() int
}

// Reason is why a Gate refused a head or closed a connection.
type Reason string

const (
	// ReasonTooLarge is a head over its limit. The caller gets status 431.
	ReasonTooLarge Reason = "headTooLarge"
	// ReasonNoMemory is a head for which no memory is left. The caller gets status 503.
	ReasonNoMemory Reason = "noMemoryForHead"
	// ReasonUnfinished is a connection without a whole request that made room for another one. It is closed.
	ReasonUnfinished Reason = "unfinishedHead"
	// ReasonIdle is a connection between two requests that made room for another one. It is closed.
	ReasonIdle Reason = "idleConnection"
	// ReasonLingering is a connection whose request was answered before the end of its body, of which the rest is read, and that made
	// room for another one. It is closed.
	ReasonLingering Reason = "unreadBody"
	// ReasonConnections is a new connection for which there was no room, which is closed, or a request that would need one more
	// connection, which gets status 503.
	ReasonConnections Reason = "tooManyConnections"
)

// Event is a head that was refused or a connection that was closed.
type Event struct {
	Reason Reason
	// Bytes and Lines are those of the head so far, and Limit is the limit on its bytes.
	Bytes, Lines, Limit int
	// Open and Unfinished are the numbers of connections, and of those without a whole request.
	Open, Unfinished int
	// Memory is the memory of all heads.
	Memory toucanbody.Usage
}

// Gate bounds the heads and the connections of one or several servers. It is safe for concurrent use.
type Gate struct {
	limits Limits
	memory *toucanbody.Memory
	// maxUnfinished is the number of connections without a whole request.
	maxUnfinished int
	report        func(Event)

	mu sync.Mutex
	// open is the number of connections.
	open int
	// unfinished holds the connections on which a head is awaited after they were opened or after its first byte, the oldest first, and
	// idle those between two requests, the longest idle first. lingering holds those whose requests are answered and whose bodies are still
	// read, the oldest first.
	unfinished, idle, lingering connList
	// drained is true once no connection may linger.
	drained bool
	// sparing is true while calls of Close spare connections, and spared holds those that are still open.
	sparing bool
	spared  map[*Conn]struct{}
}

// New returns a Gate. It calls report for each refused head and closed connection, from any goroutine.
func New(limits Limits, report func(Event)) *Gate {
	return &Gate{
		limits:        limits,
		memory:        toucanbody.NewMemory(max(limits.MemoryBytes, maxWeight(limits.HeadBytes()))),
		maxUnfinished: max(limits.MemoryBytes/connectionWeight, 1),
		report:        report,
	}
}

// maxWeight returns the weight of the heaviest head of a limit.
func maxWeight(headBytes int) int {
	bytes := headBytes + extraBytes
	return weight(bytes, bytes/minLine)
}

// Usage returns the memory of all heads.
func (g *Gate) Usage() toucanbody.Usage { return g.memory.Usage() }

// place is where a connection is listed.
type place struct {
	// list is Gate.unfinished, Gate.idle, Gate.lingering, or nil while a request is in service or once the connection is closed.
	list *connList
	// before and after are the connections beside it on the list; nil at its ends.
	before, after *Conn
	// closed is true once the connection has been closed, by the gate or by the server.
	closed bool
}

// connList is a list of connections. Each request moves its connection twice, so that the links lie in the connections.
type connList struct {
	front, back *Conn
	n           int
}

func (l *connList) pushBack(c *Conn) {
	c.place.list, c.place.before, c.place.after = l, l.back, nil
	if l.back == nil {
		l.front = c
	} else {
		l.back.place.after = c
	}
	l.back = c
	l.n++
}

func (l *connList) remove(c *Conn) {
	p := &c.place
	if p.before == nil {
		l.front = p.after
	} else {
		p.before.place.after = p.after
	}
	if p.after == nil {
		l.back = p.before
	} else {
		p.after.place.before = p.before
	}
	p.list, p.before, p.after = nil, nil, nil
	l.n--
}

// add adds a connection, which is unfinished. It returns false if there is no room for it.
func (g *Gate) add(c *Conn) bool {
	others := g.others()
	g.mu.Lock()
	g.open++
	g.move(c, &g.unfinished)
	victims := g.makeRoom(others, c)
	g.mu.Unlock()
	g.evict(victims)
	return !slices.ContainsFunc(victims, func(v victim) bool { return v.conn == c })
}

// victim is a connection that is closed to make room.
type victim struct {
	conn *Conn
	why  Reason
}

// others returns the number of connections to other processes. It counts at most half of the limit, so that callers have the other half.
func (g *Gate) others() int {
	if g.limits.Others == nil {
		return 0
	}
	return min(g.limits.Others(), g.limits.Connections/2)
}

// makeRoom takes connections out until the limits are kept, and returns them: the oldest unfinished ones, then the oldest
// whose bodies are read after the answer, then the longest idle ones, and then newest, unless it is nil. The caller holds g.mu.
func (g *Gate) makeRoom(others int, newest *Conn) []victim {
	var victims []victim
	for g.lingering.n > g.maxUnfinished {
		victims = append(victims, g.takeFirst(victim{g.lingering.front, ReasonLingering}))
	}
	for g.unfinished.n > g.maxUnfinished || g.isFull(others) {
		v := g.next(newest)
		if v.conn == nil {
			break
		}
		victims = append(victims, g.takeFirst(v))
	}
	return victims
}

// takeFirst takes a victim out, and returns it. The caller holds g.mu.
func (g *Gate) takeFirst(v victim) victim {
	g.takeOut(v.conn)
	return v
}

// isFull reports whether there are too many connections. The caller holds g.mu.
func (g *Gate) isFull(others int) bool {
	serving := g.open - g.unfinished.n - g.idle.n - g.lingering.n
	return g.limits.Connections > 0 && g.open+max(serving, others) > g.limits.Connections
}

// next returns the connection that makes room next, or none. The caller holds g.mu.
func (g *Gate) next(newest *Conn) victim {
	if front := g.unfinished.front; front != nil && front != newest {
		return victim{front, ReasonUnfinished}
	}
	if front := g.lingering.front; front != nil {
		return victim{front, ReasonLingering}
	}
	if front := g.idle.front; front != nil {
		return victim{front, ReasonIdle}
	}
	if newest != nil && !newest.place.closed {
		return victim{newest, ReasonConnections}
	}
	return victim{}
}

// takeOut removes a connection that is being closed. The caller holds g.mu.
func (g *Gate) takeOut(c *Conn) {
	g.move(c, nil)
	c.place.closed = true
	g.open--
}

// move moves a connection to the end of a list, or out of all lists if to is nil. The caller holds g.mu.
func (g *Gate) move(c *Conn, to *connList) {
	if c.place.list != nil {
		c.place.list.remove(c)
	}
	if to != nil {
		to.pushBack(c)
	}
}

// evict closes connections that were taken out at once. The next Read of their servers fails.
func (g *Gate) evict(victims []victim) { g.close(victims, closeNow) }

func (g *Gate) close(victims []victim, closeConn func(net.Conn) error) {
	for _, v := range victims {
		_ = closeConn(v.conn.Conn) // The server closes it again.
		g.tell(Event{Reason: v.why})
	}
}

// closeNow closes a connection whose caller has little time for what is in flight, if the connection can tell the kernel so.
func closeNow(c net.Conn) error {
	if now, ok := c.(interface{ CloseNow() error }); ok {
		return now.CloseNow()
	}
	return c.Close()
}

// begin records that the first byte of a head arrived. It returns false if the connection has been closed.
func (g *Gate) begin(c *Conn) bool {
	g.mu.Lock()
	if c.place.closed {
		g.mu.Unlock()
		return false
	}
	if c.place.list != &g.unfinished {
		g.move(c, &g.unfinished)
	}
	victims := g.makeRoom(0, nil)
	g.mu.Unlock()
	g.evict(victims)
	return true
}

// finish records that a head is whole and its request goes into service. It returns net.ErrClosed if the connection has been closed, and errFull if
// there are too many requests in service.
func (g *Gate) finish(c *Conn) error {
	others := g.others()
	g.mu.Lock()
	if c.place.closed {
		g.mu.Unlock()
		return net.ErrClosed
	}
	g.move(c, nil)
	victims := g.makeRoom(others, nil)
	full := g.isFull(others)
	if full && !c.place.closed {
		g.move(c, &g.unfinished) // It is refused, and needs no other connection.
	}
	g.mu.Unlock()
	g.evict(victims)
	if full {
		return errFull
	}
	return nil
}

// markIdle records that a connection is between two requests.
func (g *Gate) markIdle(c *Conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !c.place.closed {
		g.move(c, &g.idle)
	}
}

// remove records that the server closes a connection.
func (g *Gate) remove(c *Conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.spared, c)
	if !c.place.closed {
		g.takeOut(c)
	}
}

// tell reports an event.
func (g *Gate) tell(e Event) {
	g.mu.Lock()
	e.Open, e.Unfinished = g.open, g.unfinished.n
	g.mu.Unlock()
	e.Memory = g.memory.Usage()
	g.report(e)
}

// Listen returns a listener whose connections the gate bounds. The server that accepts them must be attached to the gate.
func (g *Gate) Listen(ln net.Listener) net.Listener { return &listener{Listener: ln, gate: g} }

type listener struct {
	net.Listener
	gate *Gate
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := newConn(raw, l.gate); l.gate.add(c) {
			return c, nil
		}
	}
}
