// Package toucanmember joins the platform's lagging list of instances with what instances report themselves,
// and divides endpoints among entries. It is pure: no I/O, and no clock but the one handed in.
package toucanmember

import (
	"slices"
	"strings"
	"time"
)

// State is what the platform's list says of an instance.
type State string

// The listed states.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving"
)

// Roles of instances.
const (
	RoleEntry   = "entry"
	RoleSidecar = "sidecar"
)

// Listed is one instance in the platform's list.
type Listed struct {
	Instance string `json:"instance"`
	Role     string `json:"role"`
	// Address is the operators' listener of an entry and the inner listener of a sidecar.
	Address       string `json:"address"`
	FailureDomain string `json:"failureDomain"`
	State         State  `json:"state"`
}

// Report is what an instance told of itself.
type Report struct {
	Instance string
	// BootID identifies the run of the process.
	BootID uint64
	// Sequence grows within a boot.
	Sequence uint64
	Leaving  bool
}

// Member is one instance with all that is known of it.
type Member struct {
	Listed
	// BootID is that of the newest run heard of; zero when the instance was not heard.
	BootID uint64
	// HeardAt is when the instance last reported; zero when it did not.
	HeardAt time.Time
	// Leaving is true when the instance said so itself in this run, or the list did after this run was heard.
	Leaving bool
	// Live is true when the instance reported within the silence bound, or is listed and was not heard yet.
	Live bool
}

const (
	// silentAfter is how long an instance that has reported counts as live without another report.
	silentAfter = 10 * time.Second
	// forgetAfter is how long an instance that is in no list is remembered after its last report.
	forgetAfter = time.Minute
	// maxPastBoots bounds the earlier boots remembered for one instance.
	maxPastBoots = 8
)

// record is what is known of one instance.
type record struct {
	listed Listed
	// inList is false once the instance has left the list.
	inList bool
	// listLeavingAt is when the list began to say that the instance leaves; zero while it does not.
	listLeavingAt time.Time
	boot          uint64
	sequence      uint64
	// bootSince is when the current boot was first heard.
	bootSince time.Time
	heardAt   time.Time
	// saidLeaving is true once the current boot said that it leaves; it never takes that back.
	saidLeaving bool
	// past are earlier boots, oldest first: whatever arrives from them is late.
	past []uint64
}

// Table holds what is known of every instance. It is not safe for concurrent use.
type Table struct {
	records map[string]*record
	// version grows with each change of who is live or leaving.
	version uint64
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{records: make(map[string]*record)} }

// Version grows whenever an instance comes, goes or begins to leave.
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

// TakeList takes in the platform's whole list. Instances that are missing from it stay while they report.
func (t *Table) TakeList(now time.Time, list []Listed) {
	seen := make(map[string]bool, len(list))
	for _, l := range list {
		seen[l.Instance] = true
		t.takeListed(now, l)
	}
	for name, r := range t.records {
		if !seen[name] && r.inList {
			r.inList = false
			t.version++
		}
		if !r.inList && now.Sub(r.heardAt) > forgetAfter {
			delete(t.records, name)
			t.version++
		}
	}
}

func (t *Table) takeListed(now time.Time, l Listed) {
	r := t.record(l.Instance)
	if r.listed != l || !r.inList {
		t.version++
	}
	wasLeaving := r.inList && r.listed.State == StateLeaving
	r.listed, r.inList = l, true
	switch {
	case l.State != StateLeaving:
		r.listLeavingAt = time.Time{}
	case !wasLeaving:
		r.listLeavingAt = now
	}
}

// TakeReport takes in an instance's report and says whether it was news. A report of an earlier boot, or one
// that was overtaken, changes nothing.
func (t *Table) TakeReport(now time.Time, p Report) bool {
	r := t.record(p.Instance)
	if slices.Contains(r.past, p.BootID) {
		return false
	}
	if p.BootID != r.boot {
		r.startBoot(now, p.BootID)
		t.version++
	} else if p.Sequence <= r.sequence {
		return false
	}
	r.sequence, r.heardAt = p.Sequence, now
	if p.Leaving && !r.saidLeaving {
		r.saidLeaving = true
		t.version++
	}
	return true
}

// startBoot begins a new run: what was known of the earlier one, leaving included, no longer counts.
func (r *record) startBoot(now time.Time, boot uint64) {
	if r.boot != 0 {
		r.past = append(r.past, r.boot)
		r.past = r.past[max(0, len(r.past)-maxPastBoots):]
	}
	r.boot, r.bootSince, r.sequence, r.saidLeaving = boot, now, 0, false
}

// leaving reports whether the instance leaves. The list lags: what it began to say before the current boot was
// heard is about an earlier one.
func (r *record) leaving() bool {
	if r.saidLeaving {
		return true
	}
	return !r.listLeavingAt.IsZero() && !r.listLeavingAt.Before(r.bootSince)
}

func (r *record) live(now time.Time) bool {
	if r.heardAt.IsZero() {
		return r.inList
	}
	return now.Sub(r.heardAt) <= silentAfter
}

// Member returns what is known of an instance.
func (t *Table) Member(now time.Time, instance string) (Member, bool) {
	r, ok := t.records[instance]
	if !ok {
		return Member{}, false
	}
	return r.member(now), true
}

func (r *record) member(now time.Time) Member {
	return Member{Listed: r.listed, BootID: r.boot, HeardAt: r.heardAt, Leaving: r.leaving(), Live: r.live(now)}
}

// Members returns all instances with a role in the order of their names; every role when it is empty.
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
