package toucanlisting

import (
	"context"
	"sync"
	"time"

	"toucanport/toucanmember"
)

// View keeps a table of instances up to date from the list and from the instances' own reports. It is safe for
// concurrent use.
type View struct {
	client *Client

	mu    sync.Mutex
	table *toucanmember.Table
	// byAddress maps addresses to the names of the instances that are listed there.
	byAddress map[string]string
}

// NewView returns a View of the list that client polls.
func NewView(client *Client) *View {
	return &View{client: client, table: toucanmember.NewTable(), byAddress: make(map[string]string)}
}

// Run polls the list until ctx is done.
func (v *View) Run(ctx context.Context) { v.client.Run(ctx, v.applyList) }

func (v *View) applyList(list []toucanmember.Listed) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.table.ApplyList(time.Now(), list)
	v.byAddress = make(map[string]string, len(list))
	for _, l := range list {
		v.byAddress[l.Address] = l.Instance
	}
}

// Report applies an instance's report of its own state.
func (v *View) Report(r toucanmember.Report) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.table.ApplyReport(time.Now(), r)
}

// Version returns a number that increases whenever an instance is added, is removed or starts to drain.
func (v *View) Version() uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.table.Version()
}

// IsDraining reports whether the instance that is listed at an address is draining.
func (v *View) IsDraining(address string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	m, ok := v.table.Member(time.Now(), v.byAddress[address])
	return ok && m.Leaving
}

// Entries returns the names of the live entries that are not draining.
func (v *View) Entries() []string {
	return v.collectActive(toucanmember.RoleEntry, func(m toucanmember.Member) string { return m.Instance })
}

// EntryAddresses returns the addresses of the operators' listeners of the live entries that are not draining, except the
// entry named self.
func (v *View) EntryAddresses(self string) []string {
	return v.collectActive(toucanmember.RoleEntry, func(m toucanmember.Member) string {
		if m.Instance == self {
			return ""
		}
		return m.Address
	})
}

// Sidecars returns the addresses of the inner listeners of the live sidecars that are not draining.
func (v *View) Sidecars() []string {
	return v.collectActive(toucanmember.RoleSidecar, func(m toucanmember.Member) string { return m.Address })
}

// collectActive returns the non-empty results of f for the live instances with the role that are not draining.
func (v *View) collectActive(role string, f func(toucanmember.Member) string) []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	var out []string
	for _, m := range v.table.Members(time.Now(), role) {
		if !m.Live || m.Leaving {
			continue
		}
		if s := f(m); s != "" {
			out = append(out, s)
		}
	}
	return out
}
