package toucanpeer

import (
	"time"
)

// OnNewerSettings sets the function to call when a peer reports settings newer than this entry's and than those of
// earlier reports. It is called with the peer's name and the version.
func (s *SharedState) OnNewerSettings(f func(peer string, version uint64)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onNewerSettings = f
}

// SetSettings records the version of the settings in force and reports it to the peers.
func (s *SharedState) SetSettings(version uint64) {
	s.mu.Lock()
	s.settings = version
	s.mu.Unlock()
	s.RequestReport()
}

// reportedAge returns the time since t in milliseconds, at least 1, or zero if t is zero.
func reportedAge(t time.Time) uint32 {
	if t.IsZero() {
		return 0
	}
	return uint32(max(time.Since(t).Milliseconds(), 1))
}

// MissingSettings returns the highest version of the settings that a peer reported and this entry lacks; zero if there
// is none.
func (s *SharedState) MissingSettings() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.newestSettings <= s.settings {
		return 0
	}
	return s.newestSettings
}

// NewestSettings returns the highest version of the settings that this entry has or a peer reported.
func (s *SharedState) NewestSettings() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(s.settings, s.newestSettings)
}

// PeersWithStore returns the number of peers with a valid report that can reach the store.
func (s *SharedState) PeersWithStore() int {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, p := range s.peers {
		if now.Sub(p.receivedAt) <= reportTimeout && !p.report.GetStoreAway() {
			n++
		}
	}
	return n
}

// SnapshotPeers returns the names of the peers with a valid report that have a complete copy of the store.
func (s *SharedState) SnapshotPeers(now time.Time) []string {
	return s.filterPeers(now, (*Report).GetLends)
}

// NewerSettingsPeers returns the names of the peers with a valid report that have newer settings than this entry.
func (s *SharedState) NewerSettingsPeers(now time.Time) []string {
	s.mu.Lock()
	own := s.settings
	s.mu.Unlock()
	return s.filterPeers(now, func(r *Report) bool { return r.GetSettingsVersion() > own })
}

// SetStoreDown records whether this entry sees a store outage.
func (s *SharedState) SetStoreDown(down bool) {
	s.mu.Lock()
	s.storeDown = down
	if !down {
		s.storeUpSince = time.Now()
	}
	s.mu.Unlock()
	// Other entries must read the store in place of this one.
	s.RequestReport()
}

// snapshotDelay is how long the store must have been available to an entry before the entry serves snapshots to peers.
// Endpoints whose leases expired during an outage are registered again within two seconds of its end.
const snapshotDelay = 2500 * time.Millisecond

// canServeSnapshot reports whether this entry's copy of the store is complete. The caller must hold s.mu.
func (s *SharedState) canServeSnapshot(now time.Time) bool {
	return !s.storeDown && s.settings > 0 && now.Sub(s.storeUpSince) > snapshotDelay
}

// StoreUnreachable reports whether neither this entry nor any peer with a valid report can reach the store. No entry
// then receives from the store which endpoints are draining.
func (s *SharedState) StoreUnreachable(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.peers {
		if now.Sub(p.receivedAt) <= reportTimeout && !p.report.GetStoreAway() {
			return false
		}
	}
	return s.storeDown
}

// RecordStoreAnswer records that the store answered this entry now.
func (s *SharedState) RecordStoreAnswer() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastStoreAnswer = time.Now()
}

// RecordSnapshot records that this entry has read the whole store now.
func (s *SharedState) RecordSnapshot() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastSnapshot = time.Now()
}

// PeerSnapshotAge returns the time since a peer with a valid report last read the whole store, or false if none did.
func (s *SharedState) PeerSnapshotAge() (time.Duration, bool) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	newest, ok := time.Duration(0), false
	for _, p := range s.peers {
		since := now.Sub(p.receivedAt)
		ms := p.report.GetSnapshotAgeMillis()
		if since > reportTimeout || ms == 0 {
			continue
		}
		age := since + time.Duration(ms)*time.Millisecond
		if !ok || age < newest {
			newest, ok = age, true
		}
	}
	return newest, ok
}

// StoreSilentAfter exceeds the longest time between two answers of the store to an entry that reads it for others, and the time
// until the others hear of it.
const StoreSilentAfter = 850 * time.Millisecond

// StoreSilent reports whether the store has answered neither this entry nor any peer with a valid report within
// StoreSilentAfter. It detects an outage sooner than SetStoreDown and StoreUnreachable do, but with more false
// positives.
func (s *SharedState) StoreSilent(now time.Time) bool { return s.storeAge(now) > StoreSilentAfter }

// storeAge returns the time since the store last answered this entry or a peer with a valid report.
func (s *SharedState) storeAge(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	age := now.Sub(s.lastStoreAnswer)
	for _, p := range s.peers {
		if now.Sub(p.receivedAt) > reportTimeout {
			continue
		}
		if ms := p.report.GetStoreSilentMillis(); ms > 0 {
			age = min(age, now.Sub(p.receivedAt)+time.Duration(ms)*time.Millisecond)
		}
	}
	return age
}
