package toucanrate

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"gotest.tools/v3/assert"

	"toucanport/toucanbubble"
)

const (
	limitedEndpoint = 7
	// linkDelay is the delay of a message between two entries.
	linkDelay = 2 * time.Millisecond
	// silenceTime is how long an entry counts as heard after its last report.
	silenceTime = time.Second
	// reportTime is the time between two reports of an entry.
	reportTime = 250 * time.Millisecond
	// window is the span of time in which the requests to the endpoint are counted.
	window = 4 * time.Second
)

// network is a group of entries that send requests to one limited endpoint.
type network struct {
	mu    sync.Mutex
	nodes []*node
	// sent holds the times of the requests that reached the endpoint.
	sent []time.Time
	// notice is what the endpoint's answers say.
	notice Notice
}

// node is one entry. Its mutable fields are guarded by the network's mutex.
type node struct {
	network *network
	name    string
	limits  *Limits
	// down is true once the entry has ended, and cut while it is cut off from the others.
	down, cut bool
	// lastHeard holds when the entry last got a report of each other entry.
	lastHeard map[string]time.Time
	// frozenUntil is when the entry wakes again.
	frozenUntil time.Time
}

func newNetwork(entries int) *network {
	net := &network{}
	for i := range entries {
		n := &node{network: net, name: fmt.Sprintf("e%d", i), lastHeard: make(map[string]time.Time)}
		n.limits = New(n.name)
		n.limits.Connect(n)
		net.nodes = append(net.nodes, n)
	}
	return net
}

// Members implements Peers.
func (n *node) Members(now time.Time) []string {
	n.network.mu.Lock()
	defer n.network.mu.Unlock()
	members := []string{n.name}
	for name, at := range n.lastHeard {
		if now.Sub(at) <= silenceTime {
			members = append(members, name)
		}
	}
	slices.Sort(members)
	return members
}

// Registered implements Peers.
func (n *node) Registered() int {
	n.network.mu.Lock()
	defer n.network.mu.Unlock()
	registered := 0
	for _, other := range n.network.nodes {
		if !other.down {
			registered++
		}
	}
	return registered
}

// ReportSoon implements Peers. The regular reports are enough.
func (n *node) ReportSoon() {}

// Ask implements Peers.
func (n *node) Ask(peer string, a Ask) {
	i := slices.IndexFunc(n.network.nodes, func(m *node) bool { return m.name == peer })
	to := n.network.nodes[i]
	go func() {
		if !n.deliver(to) {
			return
		}
		if g, ok := to.limits.Answer(time.Now(), a); ok && to.deliver(n) {
			n.limits.Deliver(g)
		}
	}()
}

// deliver waits until a message to another entry has arrived. It returns false if the message is lost.
func (n *node) deliver(to *node) bool {
	time.Sleep(linkDelay)
	to.sleepWhileFrozen()
	n.network.mu.Lock()
	defer n.network.mu.Unlock()
	return !n.down && !to.down && !n.cut && !to.cut
}

func (n *node) sleepWhileFrozen() {
	n.network.mu.Lock()
	left := time.Until(n.frozenUntil)
	n.network.mu.Unlock()
	time.Sleep(left)
}

// report sends reports until done is closed.
func (n *node) report(done <-chan struct{}) {
	for wait(done, reportTime) {
		n.sleepWhileFrozen()
		words := n.limits.Words(time.Now())
		for _, other := range n.network.nodes {
			if other != n {
				go n.reportTo(other, words)
			}
		}
	}
}

func (n *node) reportTo(other *node, words []Word) {
	if !n.deliver(other) {
		return
	}
	n.network.mu.Lock()
	other.lastHeard[n.name] = time.Now()
	n.network.mu.Unlock()
	other.limits.Apply(time.Now(), words)
}

// send sends requests to the endpoint at random times, perSecond on average, whenever it gets a slot, until done is closed.
func (n *node) send(done <-chan struct{}, perSecond float64, rng *rand.Rand) {
	for wait(done, time.Duration(rng.ExpFloat64()/perSecond*float64(time.Second))) {
		n.sleepWhileFrozen()
		n.network.mu.Lock()
		down := n.down
		n.network.mu.Unlock()
		if down {
			return
		}
		if _, ok := n.limits.Take(context.Background(), limitedEndpoint, 0); ok {
			sentAt := time.Now()
			n.network.arrive(sentAt)
			n.limits.Observe(time.Now(), sentAt, limitedEndpoint, n.network.notice)
		}
	}
}

func (net *network) arrive(at time.Time) {
	net.mu.Lock()
	defer net.mu.Unlock()
	net.sent = append(net.sent, at)
}

// most returns the largest number of requests in a window after a time.
func (net *network) most(from time.Time) int {
	net.mu.Lock()
	defer net.mu.Unlock()
	most, first := 0, 0
	for i, at := range net.sent {
		for net.sent[first].Before(from) && first < i || at.Sub(net.sent[first]) > window {
			first++
		}
		if !at.Before(from) {
			most = max(most, i-first+1)
		}
	}
	return most
}

func (net *network) count(from time.Time) int {
	net.mu.Lock()
	defer net.mu.Unlock()
	return len(net.sent) - slices.IndexFunc(net.sent, func(at time.Time) bool { return !at.Before(from) })
}

// granter returns the entry that gives out the endpoint's slots.
func (net *network) granter() *node {
	first := net.nodes[0].limits
	first.mu.Lock()
	name := first.granter(time.Now(), limitedEndpoint)
	first.mu.Unlock()
	i := slices.IndexFunc(net.nodes, func(n *node) bool { return n.name == name })
	return net.nodes[i]
}

// wait waits for d and returns false if done is closed before.
func wait(done <-chan struct{}, d time.Duration) bool {
	select {
	case <-done:
		return false
	case <-time.After(d):
		return true
	}
}

// TestEntriesKeepLimitsTogether plays the entries of testdata/together in virtual time. Each case names the entries, the limit,
// the requests a second of each entry, and a disturbance; it shows whether the endpoint got more than the rule allows in some 4 s,
// more than a fifth above its limit (and two requests), and at least three quarters of what it takes.
func TestEntriesKeepLimitsTogether(t *testing.T) {
	datadriven.Walk(t, "testdata/together", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var result string
			toucanbubble.Test(t, func(t *testing.T) { result = playLimit(t, d) })
			return result
		})
	})
}

const (
	// toldTime is how long all entries get to hear of the limit, playTime how long the play lasts then, and disturbTime when the
	// disturbance begins.
	toldTime    = 500 * time.Millisecond
	playTime    = 60 * time.Second
	disturbTime = 10 * time.Second
)

func playLimit(t *testing.T, d *datadriven.TestData) string {
	entries, limit, demand, seed := 0, "", "", 1
	d.ScanArgs(t, "entries", &entries)
	d.ScanArgs(t, "limit", &limit)
	d.ScanArgs(t, "demand", &demand)
	d.MaybeScanArgs(t, "seed", &seed)
	perSecond, err := strconv.ParseFloat(demand, 64)
	assert.NilError(t, err)
	net := newNetwork(entries)
	net.notice = ParseNotice(limit)
	done := make(chan struct{})
	var wg sync.WaitGroup
	for i, n := range net.nodes {
		wg.Go(func() { n.report(done) })
		wg.Go(func() { n.send(done, perSecond, rand.New(rand.NewPCG(uint64(seed), uint64(i)))) })
	}
	time.Sleep(2 * reportTime)
	from := time.Now().Add(toldTime)
	time.Sleep(disturbTime)
	net.disturb(d)
	time.Sleep(playTime - disturbTime)
	got := net.most(from)
	total := float64(net.count(from)) / (playTime - toldTime).Seconds()
	close(done)
	wg.Wait()
	time.Sleep(time.Second) // The last messages arrive.
	allowed := net.notice.PerSecond * window.Seconds()
	var b strings.Builder
	fmt.Fprintf(&b, "over the rule: %t\n", float64(got) > 1.5*allowed+5)
	fmt.Fprintf(&b, "over the limit: %t\n", float64(got) > 1.2*allowed+2)
	fmt.Fprintf(&b, "used: %t\n", total >= 0.75*net.notice.PerSecond)
	t.Logf("%s: most %d in %s, allowed %.1f; %.2f a second", d.Pos, got, window, allowed, total)
	return b.String()
}

// disturb applies the disturbance of a case.
func (net *network) disturb(d *datadriven.TestData) {
	n := net.granter()
	if d.HasArg("other") {
		i := slices.Index(net.nodes, n)
		n = net.nodes[(i+1)%len(net.nodes)]
	}
	net.mu.Lock()
	defer net.mu.Unlock()
	switch {
	case d.HasArg("kill"):
		n.down = true
	case d.HasArg("cut"):
		n.cut = true
	case d.HasArg("freeze"):
		n.frozenUntil = time.Now().Add(3 * time.Second)
	}
}
