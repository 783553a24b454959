package main

import (
	"fmt"
	"os"
	"time"
)

// site is what the cases take from a site of the users: the smallest front machines and the bounds.
type site struct {
	name                  string
	zones                 []string
	region                string
	memoryMb, descriptors int
	cpuShare, linkMbps    float64
	bounds                map[string]any
	// orderMs is the deadline of orders and of status requests.
	orderMs int
}

const (
	// callerKey is the key of a tenant.
	callerKey = "xd9dnn2ctnfzs989anu6"
	host      = "ficu95.example"
	// briefMs is the time-out of the route of streams.
	briefMs = 6000
)

var cordeau = site{
	name: "cordeau-qc", zones: []string{"qc-east-a", "qc-east-b", "qc-east-c"}, region: "qc-east",
	memoryMb: 134, descriptors: 4100, cpuShare: 0.304, linkMbps: 1000, orderMs: 1500,
	bounds: map[string]any{
		"SeedLagS": 3, "ReuseAfterS": 2, "ContactMs": 3000, "AcknowledgeMs": 4000, "CatchUpS": 4, "DrainMs": 2000, "GraceS": 8,
		"LossSlackMs": 200, "ConfigurationApplyMs": 2000, "RollbackSlackMs": 250, "StretchMaxMs": 5000, "FailClosed": false, "RevokeMs": 5000,
		"RetryBudgetRatio": 0.2, "BudgetWindowS": 10, "RetryBudgetSlack": 56, "RecoveryS": 12, "PassMs": 120, "ReuseWindowS": 4.8,
	},
}

var kahawai = site{
	name: "kahawai-nz-grown", zones: []string{"nz-north-a", "nz-north-b", "nz-north-c"}, region: "nz-north",
	memoryMb: 112, descriptors: 4100, cpuShare: 0.144, linkMbps: 10, orderMs: 600,
	bounds: map[string]any{
		"SeedLagS": 3, "ReuseAfterS": 2, "ContactMs": 4000, "AcknowledgeMs": 6000, "CatchUpS": 6, "DrainMs": 3000, "GraceS": 8,
		"LossSlackMs": 200, "ConfigurationApplyMs": 3000, "RollbackSlackMs": 250, "StretchMaxMs": 6000, "FailClosed": false, "RevokeMs": 5000,
		"RetryBudgetRatio": 0.2, "BudgetWindowS": 10, "RetryBudgetSlack": 96, "ColdOverage": 1.5, "ColdSlack": 5, "EvacuationMs": 5000,
		"RecoveryS": 15, "PassMs": 200, "ReuseWindowS": 5.2,
	},
}

// configure writes the operator's configuration: an order and a status route before a plain service, and a route of brief streams that may be
// resumed before model engines.
func (r *rig) configure() {
	route := func(name, prefix, kind, service string, timeoutMs, goalMs int) map[string]any {
		return map[string]any{
			"Name": name, "Host": host, "Prefix": prefix, "Kind": kind, "TimeoutMs": timeoutMs, "LatencyGoalMs": goalMs, "Priority": 2,
			"Service": service, "MaxAttempts": 1, "AllowAnonymous": false, "StickySessions": kind == "streaming", "ResumeStreams": false,
		}
	}
	brief := route("r-brief", "/brief/", "streaming", "engines", briefMs, 1500)
	brief["ResumeStreams"], brief["MaxAttempts"], brief["GapTargetMs"] = true, 2, 180
	engines := map[string]any{"Name": "engines", "HealthPath": "/health", "MaxConnections": 372, "Engine": map[string]any{
		"Slots": 24, "KvCacheTokens": 26901, "KvTokenBytes": 18432.0, "LinkMbps": 2700.0, "Moves": true, "Backups": true, "Stride": 4, "HandleS": 4.0,
	}}
	r.must(r.store.Set("op/config", map[string]any{
		"Version": 7,
		"Routes": []any{
			route("r-order", "/order/", "unsafe", "orders", r.site.orderMs, 150),
			route("r-status", "/status/", "safe", "orders", r.site.orderMs, 150),
			brief,
			route("r-plan", "/plan/", "streaming", "plans", planMs, 1800),
		},
		"Services": []any{
			map[string]any{"Name": "orders", "HealthPath": "/health", "MaxConnections": 110},
			engines,
			map[string]any{"Name": "plans", "HealthPath": "/health", "MaxConnections": 372},
		},
		"Limits": map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		"Tenants": []any{
			map[string]any{"Name": "huka270", "ApiKeys": []string{callerKey}},
		},
	}))
}

// deploy starts a deployment of n front machines, with an engine of the plain service in each zone, and waits until all are ready.
func (r *rig) deploy(n int) {
	r.configure()
	for i, zone := range r.site.zones {
		r.addEngine(fmt.Sprintf("i-7f3a91c%d", i), zone, 6, 24)
	}
	net := fmt.Sprintf("127.%d.%d", 16+os.Getpid()%200, os.Getpid()/200%250)
	for i := range n {
		zone := r.site.zones[i%len(r.site.zones)]
		r.addMachine(fmt.Sprintf("front-%s-%d", zone, i/len(r.site.zones)+1), fmt.Sprintf("%s.%d", net, i+2), zone)
	}
	for _, m := range r.machines {
		m.start()
	}
	go r.beat()
	go r.runChecks()
	deadline := time.Now().Add(15 * time.Second)
	for _, m := range r.machines {
		for !m.inRotation() {
			if time.Now().After(deadline) {
				panic("the machines don't get ready")
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	r.record("site %s: %d front machines of %d MB are ready, %d engines", r.site.name, n, r.site.memoryMb, len(r.engines)+len(r.models)+len(r.plans))
}

// heartbeat is HeartbeatMs.
const heartbeat = 1200 * time.Millisecond

// beat lets each engine write its entry about every heartbeat.
func (r *rig) beat() {
	for n := 2; !r.isOver(); n++ {
		time.Sleep(heartbeat)
		for _, e := range r.engines {
			_ = r.store.Set("servers/"+e.id, e.entry(n)) // It does not fail for these values.
		}
		for _, e := range r.plans {
			_ = r.store.Set("servers/"+e.id, e.entry(n)) // As above.
		}
		for _, e := range r.models {
			_ = r.store.Set("servers/"+e.id, e.entry(n)) // As above.
		}
	}
}
