package toucanlisting

import (
	"context"
	"sync"
	"time"

	"toucanport/toucanmember"
)

// View keeps the table of instances up to date and answers questions about it. It is safe for concurrent use.
type View struct {
	client *Client

	mu    sync.Mutex
	table *toucanmember.Table
	// byAddress gives the instance that is listed at an address.
	byAddress map[string]string
}

// NewView returns a view of the list that client polls.
func NewView(client *Client) *View {
	return &View{client: client, table: toucanmember.NewTable(), byAddress: make(map[string]string)}
}

// Run polls the list until ctx ends.
func (v *View) Run(ctx context.Context) { v.client.Run(ctx, v.takeList) }

func (v *View) takeList(list []toucanmember.Listed) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.table.ApplyList(time.Now(), list)
	v.byAddress = make(map[string]string, len(list))
	for _, l := range list {
		v.byAddress[l.Address] = l.Instance
	}
}

// Report takes in what an instance told of itself.
func (v *View) Report(r toucanmember.Report) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.table.ApplyReport(time.Now(), r)
}

// Version grows whenever an instance comes, goes or begins to leave.
func (v *View) Version() uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.table.Version()
}

// Leaving reports whether the instance that is listed at an address leaves.
func (v *View) Leaving(address string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	m, ok := v.table.Member(time.Now(), v.byAddress[address])
	return ok && m.Leaving
}

// Entries returns the names of the entries that stay.
func (v *View) Entries() []string {
	return v.collect(toucanmember.RoleEntry, func(m toucanmember.Member) string { return m.Instance })
}

// EntryAddresses returns the operators' addresses of the entries that stay but self.
func (v *View) EntryAddresses(self string) []string {
	return v.collect(toucanmember.RoleEntry, func(m toucanmember.Member) string {
		if m.Instance == self {
			return ""
		}
		return m.Address
	})
}

// Sidecars returns the inner addresses of the sidecars that stay.
func (v *View) Sidecars() []string {
	return v.collect(toucanmember.RoleSidecar, func(m toucanmember.Member) string { return m.Address })
}

// collect returns f of every live instance with a role that does not leave, without empty ones.
func (v *View) collect(role string, f func(toucanmember.Member) string) []string {
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
