package toucanmetric

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
)

const (
	// maxEndpoints bounds the endpoints with gauges of their own; the rest are added up under otherEndpoints.
	maxEndpoints   = 512
	otherEndpoints = "other"
	// maxBudgets bounds the services whose budget of retries is shown.
	maxBudgets = 256
)

// Belief is what a process holds to be true of the others at one moment.
type Belief struct {
	// Endpoints is in the order of their names.
	Endpoints []EndpointLoad
	Budgets   []RetryBudget
	// SettingsVersion is zero while none are known.
	SettingsVersion uint64
	// SettingsAge is how long the settings have been in force, and StoreAge how long ago the store last answered, which is
	// the age of the list of endpoints; negative while there is none.
	SettingsAge, StoreAge time.Duration
	// Peers is the number of peers that are heard, and ReportAge the age of the oldest of their reports.
	Peers     int
	ReportAge time.Duration
	// DroppedLines is the number of log lines that were dropped.
	DroppedLines uint64
}

// EndpointLoad is what an endpoint is believed to carry.
type EndpointLoad struct {
	Name, Service string
	// Slots and Requests count places, MemoryTokens and Tokens what fits into memory and what is forecast to fill it.
	Slots, Requests      int
	MemoryTokens, Tokens int
	// FailureShare is between 0 and 1.
	FailureShare    float64
	Leaves, Suspect bool
}

// RetryBudget is how many retries a service may still make.
type RetryBudget struct {
	Service string
	Retries float64
}

// beliefs collects a Belief whenever metrics are fetched, so that endpoints that are gone leave no series behind.
type beliefs struct {
	read func() Belief

	slots, requests, capacity, tokens, failures, leaving, suspect *prometheus.Desc
	budget, version, settingsAge, storeAge, reportAge             *prometheus.Desc
	peers, dropped                                                *prometheus.Desc
}

// NewBeliefs returns a collector of what read returns, and of the process's own memory, goroutines and descriptors.
func NewBeliefs(read func() Belief) []prometheus.Collector {
	endpoint := func(name, help string) *prometheus.Desc {
		return prometheus.NewDesc("toucan_endpoint_"+name, help, []string{"endpoint", "service"}, nil)
	}
	plain := func(name, help string, labels ...string) *prometheus.Desc {
		return prometheus.NewDesc("toucan_"+name, help, labels, nil)
	}
	return []prometheus.Collector{
		&beliefs{
			read:        read,
			slots:       endpoint("slots", "requests that the endpoint runs at once"),
			requests:    endpoint("requests", "requests that all entries are believed to have placed"),
			capacity:    endpoint("memory_tokens", "tokens that fit into the endpoint's memory"),
			tokens:      endpoint("tokens", "tokens that are forecast to be in memory at the end of its requests"),
			failures:    endpoint("failure_share", "share of this entry's requests that failed lately"),
			leaving:     endpoint("leaving", "1 for an endpoint that takes no new requests"),
			suspect:     endpoint("suspect", "1 for an endpoint that could not be reached lately"),
			budget:      plain("retry_budget", "retries that may still be made", "service"),
			version:     plain("settings_version", "version of the settings in force"),
			settingsAge: plain("settings_age_seconds", "time since the settings came into force"),
			storeAge:    plain("store_age_seconds", "time since the store last answered: the age of the list of endpoints"),
			reportAge:   plain("peer_report_age_seconds", "age of the oldest report of a peer that is heard"),
			peers:       plain("peers_heard", "peers that are heard"),
			dropped:     plain("log_lines_dropped_total", "log lines that were dropped"),
		},
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	}
}

// Describe implements prometheus.Collector.
func (b *beliefs) Describe(ch chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{
		b.slots, b.requests, b.capacity, b.tokens, b.failures, b.leaving, b.suspect, b.budget, b.version, b.settingsAge,
		b.storeAge, b.reportAge, b.peers, b.dropped,
	} {
		ch <- d
	}
}

// Collect implements prometheus.Collector.
func (b *beliefs) Collect(ch chan<- prometheus.Metric) {
	now := b.read()
	for _, e := range bounded(now.Endpoints) {
		b.collectEndpoint(ch, e)
	}
	for _, s := range now.Budgets[:min(len(now.Budgets), maxBudgets)] {
		ch <- gauge(b.budget, s.Retries, s.Service)
	}
	if now.SettingsAge >= 0 {
		ch <- gauge(b.version, float64(now.SettingsVersion))
		ch <- gauge(b.settingsAge, now.SettingsAge.Seconds())
	}
	if now.StoreAge >= 0 {
		ch <- gauge(b.storeAge, now.StoreAge.Seconds())
	}
	ch <- gauge(b.peers, float64(now.Peers))
	if now.Peers > 0 {
		ch <- gauge(b.reportAge, now.ReportAge.Seconds())
	}
	ch <- prometheus.MustNewConstMetric(b.dropped, prometheus.CounterValue, float64(now.DroppedLines))
}

func (b *beliefs) collectEndpoint(ch chan<- prometheus.Metric, e EndpointLoad) {
	ch <- gauge(b.slots, float64(e.Slots), e.Name, e.Service)
	ch <- gauge(b.requests, float64(e.Requests), e.Name, e.Service)
	if e.MemoryTokens > 0 {
		ch <- gauge(b.capacity, float64(e.MemoryTokens), e.Name, e.Service)
		ch <- gauge(b.tokens, float64(e.Tokens), e.Name, e.Service)
	}
	ch <- gauge(b.failures, e.FailureShare, e.Name, e.Service)
	ch <- gauge(b.leaving, boolValue(e.Leaves), e.Name, e.Service)
	ch <- gauge(b.suspect, boolValue(e.Suspect), e.Name, e.Service)
}

// bounded adds the endpoints beyond maxEndpoints up to one. Its failure share is the highest of them.
func bounded(list []EndpointLoad) []EndpointLoad {
	if len(list) <= maxEndpoints {
		return list
	}
	rest := EndpointLoad{Name: otherEndpoints, Service: otherEndpoints}
	for _, e := range list[maxEndpoints:] {
		rest.Slots += e.Slots
		rest.Requests += e.Requests
		rest.MemoryTokens += e.MemoryTokens
		rest.Tokens += e.Tokens
		rest.FailureShare = max(rest.FailureShare, e.FailureShare)
		rest.Leaves = rest.Leaves || e.Leaves
		rest.Suspect = rest.Suspect || e.Suspect
	}
	return append(list[:maxEndpoints:maxEndpoints], rest)
}

func gauge(d *prometheus.Desc, value float64, labels ...string) prometheus.Metric {
	return prometheus.MustNewConstMetric(d, prometheus.GaugeValue, value, labels...)
}

func boolValue(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
