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

// useSharer is a limiter that shares limits with the other entries.
type useSharer interface {
	Uses(now time.Time) toucanlimit.Uses
	Observe(now time.Time, peer string, uses toucanlimit.Uses)
}

// uses returns what this entry tells over the link to address; nothing unless that is one of the relays.
func (e *Entry) uses(address string) []*toucanwire.EntryUse {
	sharer, ok := e.cfg.Limiter.(useSharer)
	if !ok || !slices.Contains(e.links.lowest(relays), address) {
		return nil
	}
	own := sharer.Uses(time.Now())
	use := &toucanwire.EntryUse{Instance: e.cfg.Instance, Complete: own.Complete}
	for _, u := range own.List {
		use.Uses = append(use.Uses, &toucanwire.WorkspaceUse{
			Workspace:       u.Workspace,
			Running:         uint32(u.Running),
			TokensPerMinute: uint32(u.TokensPerMinute),
		})
	}
	return []*toucanwire.EntryUse{use}
}

// takeUses hands what other entries carry to the limiter.
func (e *Entry) takeUses(uses []*toucanwire.EntryUse) {
	sharer, ok := e.cfg.Limiter.(useSharer)
	if !ok {
		return
	}
	for _, use := range uses {
		if use.Instance == e.cfg.Instance {
			continue
		}
		peer := toucanlimit.Uses{Complete: use.Complete}
		for _, u := range use.Uses {
			peer.List = append(peer.List, toucanlimit.Use{
				Workspace:       u.Workspace,
				Running:         int(u.Running),
				TokensPerMinute: int(u.TokensPerMinute),
			})
		}
		sharer.Observe(time.Now(), use.Instance, peer)
	}
}

// lowest returns the n lowest addresses that are linked.
func (l *links) lowest(n int) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	addresses := make([]string, 0, len(l.peers))
	for address := range l.peers {
		addresses = append(addresses, address)
	}
	slices.Sort(addresses)
	return addresses[:min(n, len(addresses))]
}
