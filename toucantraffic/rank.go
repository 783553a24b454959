package toucantraffic

// Rank returns the urgency of a workspace's requests on the route: the workspace's priority if it has one, the route's
// otherwise. It is 0 for the most urgent requests and never negative.
func (r Route) Rank(w Workspace) int {
	if w.Ranked {
		return max(w.Priority, 0)
	}
	return max(r.Priority, 0)
}

// mixedServices returns the services that get requests of routes with different goals or priorities, or of workspaces with
// different priorities.
func mixedServices(routes []Route, keys []Key) map[string]bool {
	mixed := make(map[string]bool)
	byWorkspace := differInPriority(keys)
	first := make(map[string]Route)
	for _, r := range routes {
		for _, s := range r.Shares {
			known, ok := first[s.Service]
			if !ok {
				first[s.Service] = r
				mixed[s.Service] = byWorkspace
				continue
			}
			if r.Goal != known.Goal || r.Priority != known.Priority {
				mixed[s.Service] = true
			}
		}
	}
	return mixed
}

// differInPriority reports whether the keys' workspaces have different priorities.
func differInPriority(keys []Key) bool {
	for _, k := range keys {
		if k.Workspace.Ranked != keys[0].Workspace.Ranked || k.Workspace.Priority != keys[0].Workspace.Priority {
			return true
		}
	}
	return false
}

// Mixed reports whether a service gets requests that differ in their goals or priorities.
func (t *Table) Mixed(service string) bool { return t.mixed[service] }
