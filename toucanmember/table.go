// Package toucanmember combines the platform's delayed list of instances with the reports of the instances, and divides
// endpoints among entries. It performs no I/O and reads no clock; callers pass the time.
package toucanmember

import (
	"slices"
	"strings"
	"time"
)

// State is the state of an instance in the platform's list.
type State string

// States of listed instances.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving"
)

// Roles of instances.
const (
	RoleEntry   = "entry"
	RoleSidecar = "sidecar"
)

// Listed is an instance in the platform's list.
type Listed struct {
	Instance string `json:"instance"`
	Role     string `json:"role"`
	// Address is the address of an entry's listener for operators, or of a sidecar's internal listener.
	Address       string `json:"address"`
	FailureDomain string `json:"failureDomain"`
	State         State  `json:"state"`
}

// Report is an instance's report about itself.
type Report struct {
	Instance string
	// BootID identifies one run of the instance's process.
	BootID uint64
	// Sequence increases with each report of one boot.
	Sequence uint64
	Leaving  bool
}

// Member is the combined state of an instance from the list and its reports.
type Member struct {
	Listed
	// BootID is that of the newest run that reported; zero if the instance has not reported.
	BootID uint64
	// LastReportAt is the time of the instance's last report; zero if it has not reported.
	LastReportAt time.Time
	// Leaving is true if the current run reported that it is leaving, or if the list shows the instance as leaving and
	// did not begin to do so before the first report of the current run.
	Leaving bool
	// Live is true if the instance reported within reportTimeout, or is listed and has not reported yet.
	Live bool
}

const (
	// reportTimeout is how long an instance counts as live after its last report.
	reportTimeout = 10 * time.Second
	// unlistedTTL is how long an instance that is not in the list is kept after its last report.
	unlistedTTL = time.Minute
	// maxPastBoots is the maximum number of earlier boots kept for an instance.
	maxPastBoots = 8
)

// record holds the list entry and the reports of one instance.
type record struct {
	listed Listed
	// inList is true if the platform's last list contains the instance.
	inList bool
	// listedLeavingAt is the time at which the list began to show the instance as leaving; zero if it does not.
	listedLeavingAt time.Time
	boot            uint64
	sequence        uint64
	// bootFirstReportAt is the time of the first report of the current boot.
	bootFirstReportAt time.Time
	lastReportAt      time.Time
	// reportedLeaving is true once the current boot has reported that it is leaving. Later reports don't reset it.
	reportedLeaving bool
	// pastBoots are the IDs of earlier boots, oldest first. Their reports are late and are ignored.
	pastBoots []uint64
}

// Table holds the state of all instances. It is not safe for concurrent use.
type Table struct {
	records map[string]*record
	// version increases when an instance is added, removed, relisted with other values, restarted or starts to leave.
	version uint64
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{records: make(map[string]*record)} }

// Version returns a number that increases when an instance is added or removed, changes in the list, restarts or starts
// to leave. It doesn't change when an instance only stops reporting.
func (t *Table) Version() uint64 { return t.version }

func (t *Table) record(instance string) *record {
	r, ok := t.records[instance]
	if !ok {
		r = &record{listed: Listed{Instance: instance}}
		t.records[instance] = r
		t.version++
	}
	return r
}

// ApplyList applies the platform's complete list. Instances that are not in it are kept for unlistedTTL after their
// last report.
func (t *Table) ApplyList(now time.Time, list []Listed) {
	seen := make(map[string]bool, len(list))
	for _, l := range list {
		seen[l.Instance] = true
		t.applyListed(now, l)
	}
	for name, r := range t.records {
		if !seen[name] && r.inList {
			r.inList = false
			t.version++
		}
		if !r.inList && now.Sub(r.lastReportAt) > unlistedTTL {
			delete(t.records, name)
			t.version++
		}
	}
}

func (t *Table) applyListed(now time.Time, l Listed) {
	r := t.record(l.Instance)
	if r.listed != l || !r.inList {
		t.version++
	}
	wasLeaving := r.inList && r.listed.State == StateLeaving
	r.listed, r.inList = l, true
	switch {
	case l.State != StateLeaving:
		r.listedLeavingAt = time.Time{}
	case !wasLeaving:
		r.listedLeavingAt = now
	}
}

// ApplyReport applies an instance's report and returns whether it was new. It ignores reports of earlier boots and
// reports whose Sequence is not above the last one.
func (t *Table) ApplyReport(now time.Time, p Report) bool {
	r := t.record(p.Instance)
	if slices.Contains(r.pastBoots, p.BootID) {
		return false
	}
	if p.BootID != r.boot {
		r.startBoot(now, p.BootID)
		t.version++
	} else if p.Sequence <= r.sequence {
		return false
	}
	r.sequence, r.lastReportAt = p.Sequence, now
	if p.Leaving && !r.reportedLeaving {
		r.reportedLeaving = true
		t.version++
	}
	return true
}

// startBoot starts a new boot and resets the state of the earlier one, including reportedLeaving.
func (r *record) startBoot(now time.Time, boot uint64) {
	if r.boot != 0 {
		r.pastBoots = append(r.pastBoots, r.boot)
		r.pastBoots = r.pastBoots[max(0, len(r.pastBoots)-maxPastBoots):]
	}
	r.boot, r.bootFirstReportAt, r.sequence, r.reportedLeaving = boot, now, 0, false
}

// leaving reports whether the instance is leaving. The list is delayed: if it showed the instance as leaving before the
// first report of the current boot, it refers to an earlier boot.
func (r *record) leaving() bool {
	if r.reportedLeaving {
		return true
	}
	return !r.listedLeavingAt.IsZero() && !r.listedLeavingAt.Before(r.bootFirstReportAt)
}

func (r *record) live(now time.Time) bool {
	if r.lastReportAt.IsZero() {
		return r.inList
	}
	return now.Sub(r.lastReportAt) <= reportTimeout
}

// Member returns the state of an instance, and false if it is unknown.
func (t *Table) Member(now time.Time, instance string) (Member, bool) {
	r, ok := t.records[instance]
	if !ok {
		return Member{}, false
	}
	return r.member(now), true
}

func (r *record) member(now time.Time) Member {
	return Member{Listed: r.listed, BootID: r.boot, LastReportAt: r.lastReportAt, Leaving: r.leaving(), Live: r.live(now)}
}

// Members returns all instances with a role, sorted by name. An empty role selects all instances.
func (t *Table) Members(now time.Time, role string) []Member {
	var out []Member
	for _, r := range t.records {
		if role == "" || r.listed.Role == role {
			out = append(out, r.member(now))
		}
	}
	slices.SortFunc(out, func(a, b Member) int { return strings.Compare(a.Instance, b.Instance) })
	return out
}
