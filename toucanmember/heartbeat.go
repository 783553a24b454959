package toucanmember

import "time"

const (
	// MinHeartbeatInterval is the heartbeat interval of an instance with few links.
	MinHeartbeatInterval = 500 * time.Millisecond
	// MaxHeartbeatInterval allows three heartbeats within the 8 s in which settings must take effect everywhere, and
	// one within the 3 s after which a leaving endpoint must get no more work.
	MaxHeartbeatInterval = 2500 * time.Millisecond
	// heartbeatBytes is the size on the wire of one idle heartbeat and its answer, including load reports, framing, TLS
	// and TCP.
	heartbeatBytes = 320
	// heartbeatBytesPerSecond is the share of heartbeats in an instance's budget of 15 KB/s for control traffic.
	heartbeatBytesPerSecond = 9_000
)

// HeartbeatInterval returns the interval between heartbeats on each link of an instance. It grows with the number of
// links, so that all heartbeats together stay within the instance's budget up to MaxHeartbeatInterval.
func HeartbeatInterval(links int) time.Duration {
	interval := time.Duration(links) * heartbeatBytes * time.Second / heartbeatBytesPerSecond
	return min(max(interval, MinHeartbeatInterval), MaxHeartbeatInterval)
}
