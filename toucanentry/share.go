package toucanentry

import (
	"slices"
	"time"

	"toucanport/toucanlimit"
	"toucanport/toucanwire"
)

// relays is the number of sidecars that pass what this entry carries on to the other entries. All entries choose
// those with the lowest addresses, so that entries with the same endpoints meet.
const relays = 2

// linkHandler takes what heartbeats bring.
type linkHandler struct{ entry *Entry }

// Report implements toucanlink.Handler.
func (h linkHandler) Report(peer *toucanwire.Hello, load *toucanwire.LoadReport) {
	h.entry.takeReport(load)
	h.entry.takeMember(peer, load)
}

// useSharer is a limiter that shares limits with the other entries.
type useSharer interface {
	Report(now time.Time) toucanlimit.UseReport
	ObserveReport(now time.Time, peer string, uses toucanlimit.UseReport)
}

// Uses returns what this entry tells over the link to address; nothing unless that is one of the relays.
func (h linkHandler) Uses(address string) []*toucanwire.EntryUse {
	sharer, ok := h.entry.cfg.Limiter.(useSharer)
	if !ok || !slices.Contains(h.entry.links.Lowest(relays), address) {
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

// TakeUses hands what other entries carry to the limiter.
func (h linkHandler) TakeUses(uses []*toucanwire.EntryUse) {
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
