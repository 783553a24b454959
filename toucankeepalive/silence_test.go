package toucankeepalive

import (
	"encoding/json"
	"os"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"
)

// silenceCase is what is known of a peer. All times are in milliseconds before now, but for limits.
type silenceCase struct {
	Name        string  `json:"name"`
	AckMs       uint32  `json:"ackMs"`
	WritesMs    []int64 `json:"writesMs"`
	Unacked     uint32  `json:"unacked"`
	RtoMs       uint32  `json:"rtoMs"`
	Backoff     uint8   `json:"backoff"`
	Retransmits uint32  `json:"retransmits"`
	ProbeMs     int64   `json:"probeMs"`
	LimitMs     int64   `json:"limitMs"`
	SinceMs     int64   `json:"sinceMs"`
	Closed      bool    `json:"closed"`
	Dead        bool    `json:"dead"`
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

// TestSilence checks since when a peer owes an acknowledgement and how long it may, which guards against live peers being taken for dead ones.
func TestSilence(t *testing.T) {
	encoded, err := os.ReadFile("testdata/silence.json")
	assert.NilError(t, err)
	var cases []silenceCase
	assert.NilError(t, json.Unmarshal(encoded, &cases))
	now := time.Now()
	for _, tc := range cases {
		t.Run(tc.Name, func(t *testing.T) {
			var w writes
			for _, ms := range tc.WritesMs {
				w = w.with(now.Add(-milliseconds(ms)))
			}
			l := limits{timeout: defaultTimeout, probeInterval: max(milliseconds(tc.ProbeMs), maxProbeInterval)}
			s := l.silence(now, &unix.TCPInfo{
				Last_ack_recv: tc.AckMs, Unacked: tc.Unacked, Rto: 1000 * tc.RtoMs, Backoff: tc.Backoff, Total_retrans: tc.Retransmits,
			}, w)
			assert.Equal(t, now.Sub(s.since), milliseconds(tc.SinceMs))
			assert.Equal(t, s.limit, milliseconds(tc.LimitMs))
			assert.Equal(t, s.windowClosed, tc.Closed)
			assert.Equal(t, s.over(now), tc.Dead)
		})
	}
}

// TestWritesAreForgotten checks that only the last writes are kept, of those within a short time the first.
func TestWritesAreForgotten(t *testing.T) {
	start := time.Now()
	var w writes
	for i := range 100 * maxWrites {
		w = w.with(start.Add(time.Duration(i) * writeGap / 4))
	}
	assert.Equal(t, len(w), maxWrites)
	assert.Equal(t, w[maxWrites-1].Sub(w[0]), (maxWrites-1)*writeGap)
	assert.Assert(t, w.after(start.Add(time.Hour)).IsZero())
}
