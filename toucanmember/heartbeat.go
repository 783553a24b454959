package toucanmember

import "time"

const (
	// MinHeartbeatInterval is the time between heartbeats on one link of an instance with few links.
	MinHeartbeatInterval = 500 * time.Millisecond
	// MaxHeartbeatInterval keeps three heartbeats within the 8 s in which settings are in force everywhere, and one
	// within the 3 s in which a leaving endpoint gets no more work.
	MaxHeartbeatInterval = 2500 * time.Millisecond
	// beatBytes is what one idle heartbeat and its answer cost on the wire, both with load report, framing,
	// TLS and TCP.
	beatBytes = 320
	// beatBytesPerSecond is the part of an instance's 15 KB/s of control that heartbeats may use.
	beatBytesPerSecond = 9_000
)

// HeartbeatInterval returns the time between heartbeats on each of an instance's links, so that all of them
// together stay within the instance's budget.
func HeartbeatInterval(links int) time.Duration {
	interval := time.Duration(links) * beatBytes * time.Second / beatBytesPerSecond
	return min(max(interval, MinHeartbeatInterval), MaxHeartbeatInterval)
}
