package toucanentry

import (
	"slices"
	"time"

	"toucanport/toucanlimit"
	"toucanport/toucanwire"
)

// relayCount is the number of sidecars that forward this entry's report on its use of workspace limits to other
// entries. All entries choose the linked sidecars whose addresses come first, so that entries with common endpoints
// choose the same sidecars.
const relayCount = 2

// linkHandler processes the contents of heartbeats. It implements toucanlink.Handler.
type linkHandler struct{ entry *Entry }

// Report implements toucanlink.Handler.
func (h linkHandler) Report(peer *toucanwire.Hello, load *toucanwire.LoadReport) {
	h.entry.applyReport(load)
	h.entry.reportMember(peer, load)
}

// useSharer is implemented by limiters that share limits with other entries.
type useSharer interface {
	Report(now time.Time) toucanlimit.UseReport
	ObserveReport(now time.Time, peer string, uses toucanlimit.UseReport)
}

// Uses returns this entry's use report if address is one of its relays, and nil otherwise.
func (h linkHandler) Uses(address string) []*toucanwire.EntryUse {
	sharer, ok := h.entry.cfg.Limiter.(useSharer)
	if !ok || !slices.Contains(h.entry.links.FirstAddresses(relayCount), address) {
		return nil
	}
	own := sharer.Report(time.Now())
	use := &toucanwire.EntryUse{Instance: h.entry.cfg.Instance, Complete: own.Complete}
	for _, u := range own.List {
		use.Uses = append(use.Uses, &toucanwire.WorkspaceUse{
			Workspace:       u.Workspace,
			Running:         uint32(u.Running),
			TokensPerMinute: uint32(u.TokensPerMinute),
		})
	}
	return []*toucanwire.EntryUse{use}
}

// ApplyUses passes the use reports of other entries to the limiter.
func (h linkHandler) ApplyUses(uses []*toucanwire.EntryUse) {
	sharer, ok := h.entry.cfg.Limiter.(useSharer)
	if !ok {
		return
	}
	for _, use := range uses {
		if use.Instance == h.entry.cfg.Instance {
			continue
		}
		peer := toucanlimit.UseReport{Complete: use.Complete}
		for _, u := range use.Uses {
			peer.List = append(peer.List, toucanlimit.WorkspaceUse{
				Workspace:       u.Workspace,
				Running:         int(u.Running),
				TokensPerMinute: int(u.TokensPerMinute),
			})
		}
		sharer.ObserveReport(time.Now(), use.Instance, peer)
	}
}
