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
	// graceS, contactS and maxBodyBytes are GraceS, ContactMs of cordeau-qc and the operator's MaxBodyBytes.
	graceS       = 8
	contactS     = 3
	maxBodyBytes = 4194304
	// callerKey and otherKey are keys of two tenants.
	callerKey = "xd9dnn2ctnfzs989anu6"
	otherKey  = "q7m0k2v8s4b1n6c3z5x9"
	host      = "ficu95.example"
	// streamMs is the time-out of the route of streams.
	streamMs = 39000
)

var cordeau = site{
	name: "cordeau-qc", zones: []string{"qc-east-a", "qc-east-b", "qc-east-c"}, region: "qc-east",
	memoryMb: 134, descriptors: 4100, cpuShare: 0.304, linkMbps: 1000, orderMs: 1500,
	bounds: map[string]any{
		"SeedLagS": 3, "ReuseAfterS": 2, "ContactMs": 1000 * contactS, "AcknowledgeMs": 4000, "CatchUpS": 4, "DrainMs": 2000, "GraceS": graceS,
		"LossSlackMs": 200, "ConfigurationApplyMs": 2000, "RollbackSlackMs": 250, "StretchMaxMs": 5000, "FailClosed": false, "RevokeMs": 5000,
		"RetryBudgetRatio": 0.2, "BudgetWindowS": 10, "RetryBudgetSlack": 56, "RecoveryS": 12, "PassMs": 120, "ReuseWindowS": 4.8,
	},
}

var kahawai = site{
	name: "kahawai-nz-grown", zones: []string{"nz-north-a", "nz-north-b", "nz-north-c"}, region: "nz-north",
	memoryMb: 112, descriptors: 4100, cpuShare: 0.144, linkMbps: 10, orderMs: 600,
	bounds: map[string]any{
		"SeedLagS": 3, "ReuseAfterS": 2, "ContactMs": 4000, "AcknowledgeMs": 6000, "CatchUpS": 6, "DrainMs": 3000, "GraceS": graceS,
		"LossSlackMs": 200, "ConfigurationApplyMs": 3000, "RollbackSlackMs": 250, "StretchMaxMs": 6000, "FailClosed": false, "RevokeMs": 5000,
		"RetryBudgetRatio": 0.2, "BudgetWindowS": 10, "RetryBudgetSlack": 96, "ColdOverage": 1.5, "ColdSlack": 5, "EvacuationMs": 5000,
		"RecoveryS": 15, "PassMs": 200, "ReuseWindowS": 5.2,
	},
}

// configure writes the operator's configuration: an order and a status route before a plain service, and a route of long streams.
func (r *rig) configure() {
	route := func(name, prefix, kind, service string, timeoutMs, goalMs int) map[string]any {
		return map[string]any{
			"Name": name, "Host": host, "Prefix": prefix, "Kind": kind, "TimeoutMs": timeoutMs, "LatencyGoalMs": goalMs, "Priority": 2,
			"Service": service, "MaxAttempts": 1, "AllowAnonymous": false, "StickySessions": kind == "streaming", "ResumeStreams": false,
		}
	}
	r.must(r.store.Set("op/config", map[string]any{
		"Version": 7,
		"Routes": []any{
			route("r-order", "/order/", "unsafe", "orders", r.site.orderMs, 150),
			route("r-status", "/status/", "safe", "orders", r.site.orderMs, 150),
			route("r-plan", "/plan/", "streaming", "engines", streamMs, 1800),
		},
		"Services": []any{
			map[string]any{"Name": "orders", "HealthPath": "/health", "MaxConnections": 110},
			map[string]any{"Name": "engines", "HealthPath": "/health", "MaxConnections": 252},
		},
		"Limits": map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": maxBodyBytes, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		"Tenants": []any{
			map[string]any{"Name": "huka270", "ApiKeys": []string{callerKey}},
			map[string]any{"Name": "wira118", "ApiKeys": []string{otherKey}},
		},
	}))
}

// deploy starts a deployment of n front machines, with an engine of each service in each zone, and waits until all are ready.
func (r *rig) deploy(n int) {
	r.configure()
	for i, zone := range r.site.zones {
		r.addEngine(fmt.Sprintf("i-7f3a91c%d", i), "orders", zone, 6, 24)
		r.addEngine(fmt.Sprintf("i-52d0be4%d", i), "engines", zone, 24, 72)
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
	r.record("site %s: %d front machines of %d MB are ready, %d engines", r.site.name, n, r.site.memoryMb, len(r.engines))
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
	}
}
