package toucanoperate

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/labstack/echo/v5"
	"golang.org/x/sync/errgroup"

	"toucanport/toucanspread"
)

const (
	// entryTimeout bounds the answer of another entry.
	entryTimeout = 2 * time.Second
	// entriesAtOnce bounds how many entries are asked at the same time.
	entriesAtOnce = 32
)

// getFleet asks every other entry for its status and joins the answers. Nothing of this costs anything
// while nobody asks.
func (s *Server) getFleet(c *echo.Context, from caller) error {
	statuses := []Status{s.status(from)}
	others, silent := s.askEntries(c.Request().Context(), from.credential)
	return c.JSON(http.StatusOK, join(append(statuses, others...), silent))
}

// askEntries returns the answers of the other entries, and the addresses of those that gave none.
func (s *Server) askEntries(ctx context.Context, credential string) (statuses []Status, silent []string) {
	if s.cfg.Entries == nil {
		return nil, nil
	}
	var mu sync.Mutex
	var group errgroup.Group
	group.SetLimit(entriesAtOnce)
	for _, address := range s.cfg.Entries() {
		group.Go(func() error {
			status, err := s.askEntry(ctx, address, credential)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				silent = append(silent, address)
				return nil
			}
			statuses = append(statuses, status)
			return nil
		})
	}
	_ = group.Wait()
	return statuses, silent
}

func (s *Server) askEntry(ctx context.Context, address, credential string) (Status, error) {
	ctx, cancel := context.WithTimeout(ctx, entryTimeout)
	defer cancel()
	var status Status
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+PathStatus, nil)
	if err != nil {
		return status, err
	}
	req.Header.Set("Authorization", "Bearer "+credential)
	client := &http.Client{Transport: s.cfg.Transport}
	resp, err := client.Do(req)
	if err != nil {
		return status, err
	}
	defer func() { _ = resp.Body.Close() }()
	err = json.NewDecoder(http.MaxBytesReader(nil, resp.Body, maxBodyBytes)).Decode(&status)
	return status.expanded(), err
}

// condensed leaves out the revisions of peers that have what the entry has, which is most of a status.
func (s Status) condensed() Status {
	peers := make([]Instance, len(s.Peers))
	for i, p := range s.Peers {
		if slices.Equal(p.Documents, s.Self.Documents) {
			p.Documents, p.AsSelf = nil, true
		}
		peers[i] = p
	}
	s.Peers = peers
	return s
}

// expanded is the inverse of condensed.
func (s Status) expanded() Status {
	for i, p := range s.Peers {
		if p.AsSelf {
			s.Peers[i].Documents, s.Peers[i].AsSelf = s.Self.Documents, false
		}
	}
	return s
}

// join merges statuses. Of several reports on one instance the one heard last goes.
func join(statuses []Status, silent []string) Fleet {
	byName := make(map[string]Instance)
	fleet := Fleet{Instances: []Instance{}}
	for _, status := range statuses {
		fleet.StoreAnswers = fleet.StoreAnswers || status.StoreAnswers
		for _, i := range append(status.Peers, status.Self) {
			if known, ok := byName[i.Instance]; !ok || i.HeardAt.After(known.HeardAt) {
				byName[i.Instance] = i
			}
		}
	}
	for _, address := range silent {
		byName[address] = Instance{Instance: address, Role: "entry"}
	}
	for _, i := range byName {
		fleet.Instances = append(fleet.Instances, i)
		fleet.Newest = highest(fleet.Newest, i.Documents)
	}
	slices.SortFunc(fleet.Instances, func(a, b Instance) int { return strings.Compare(a.Instance, b.Instance) })
	return fleet
}

// highest returns the higher revision of each document, in the order of their paths.
func highest(a, b []toucanspread.Revision) []toucanspread.Revision {
	at := make(map[string]uint64, len(a)+len(b))
	for _, r := range slices.Concat(a, b) {
		at[r.Path] = max(at[r.Path], r.Revision)
	}
	out := make([]toucanspread.Revision, 0, len(at))
	for path, revision := range at {
		out = append(out, toucanspread.Revision{Path: path, Revision: revision})
	}
	slices.SortFunc(out, func(a, b toucanspread.Revision) int { return strings.Compare(a.Path, b.Path) })
	return out
}
