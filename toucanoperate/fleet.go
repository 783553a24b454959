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

	"toucanport/toucanreplicate"
)

const (
	// entryTimeout is the maximum time to wait for the status of another entry.
	entryTimeout = 2 * time.Second
	// maxParallelStatusRequests is the maximum number of concurrent requests to other entries.
	maxParallelStatusRequests = 32
)

// getFleet requests the status of every other entry and answers with the merged statuses. Entries exchange statuses only
// for such requests, so that they add no background load.
func (s *Server) getFleet(c *echo.Context, sender principal) error {
	statuses := []Status{s.status(sender)}
	others, unreachable := s.fetchStatuses(c.Request().Context(), sender.credential)
	return c.JSON(http.StatusOK, mergeStatuses(append(statuses, others...), unreachable))
}

// fetchStatuses returns the statuses of the other entries, and the addresses of those that did not answer.
func (s *Server) fetchStatuses(ctx context.Context, credential string) (statuses []Status, unreachable []string) {
	if s.cfg.Entries == nil {
		return nil, nil
	}
	var mu sync.Mutex
	var group errgroup.Group
	group.SetLimit(maxParallelStatusRequests)
	for _, address := range s.cfg.Entries() {
		group.Go(func() error {
			status, err := s.fetchStatus(ctx, address, credential)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				unreachable = append(unreachable, address)
				return nil
			}
			statuses = append(statuses, status)
			return nil
		})
	}
	_ = group.Wait()
	return statuses, unreachable
}

func (s *Server) fetchStatus(ctx context.Context, address, credential string) (Status, error) {
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
	return status.expand(), err
}

// compact returns the status without the revisions of peers whose revisions equal the entry's. They usually make up most
// of a status.
func (s Status) compact() Status {
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

// expand is the inverse of compact. It modifies s.Peers in place.
func (s Status) expand() Status {
	for i, p := range s.Peers {
		if p.AsSelf {
			s.Peers[i].Documents, s.Peers[i].AsSelf = s.Self.Documents, false
		}
	}
	return s
}

// mergeStatuses merges the statuses of several entries. If several report the same instance, the report with the latest
// LastReceivedAt is used. Each unreachable address is included as an entry that is named by its address.
func mergeStatuses(statuses []Status, unreachable []string) Fleet {
	byName := make(map[string]Instance)
	fleet := Fleet{Instances: []Instance{}}
	for _, status := range statuses {
		fleet.StoreAnswers = fleet.StoreAnswers || status.StoreAnswers
		for _, i := range append(status.Peers, status.Self) {
			if known, ok := byName[i.Instance]; !ok || i.LastReceivedAt.After(known.LastReceivedAt) {
				byName[i.Instance] = i
			}
		}
	}
	for _, address := range unreachable {
		byName[address] = Instance{Instance: address, Role: "entry"}
	}
	for _, i := range byName {
		fleet.Instances = append(fleet.Instances, i)
		fleet.Newest = highestRevisions(fleet.Newest, i.Documents)
	}
	slices.SortFunc(fleet.Instances, func(a, b Instance) int { return strings.Compare(a.Instance, b.Instance) })
	return fleet
}

// highestRevisions returns the higher revision of each document in a and b, sorted by path.
func highestRevisions(a, b []toucanreplicate.Revision) []toucanreplicate.Revision {
	at := make(map[string]uint64, len(a)+len(b))
	for _, r := range slices.Concat(a, b) {
		at[r.Path] = max(at[r.Path], r.Revision)
	}
	out := make([]toucanreplicate.Revision, 0, len(at))
	for path, revision := range at {
		out = append(out, toucanreplicate.Revision{Path: path, Revision: revision})
	}
	slices.SortFunc(out, func(a, b toucanreplicate.Revision) int { return strings.Compare(a.Path, b.Path) })
	return out
}
