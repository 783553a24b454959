package toucanmetric

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
)

const (
	// maxEndpoints is the maximum number of endpoints with separate gauges; the others are added up under
	// otherEndpoints.
	maxEndpoints   = 512
	otherEndpoints = "other"
	// maxBudgets is the maximum number of services whose retry budget is exported.
	maxBudgets = 256
)

// ProcessState is a process's current view of the endpoints, its peers, the settings and the store.
type ProcessState struct {
	// Endpoints is sorted by name.
	Endpoints []EndpointLoad
	Budgets   []RetryBudget
	// SettingsVersion is zero while there are no settings.
	SettingsVersion uint64
	// SettingsAge is the time since the settings came into force. StoreAge is the time since the store last answered,
	// which is the age of the list of endpoints. Both are negative if that never happened.
	SettingsAge, StoreAge time.Duration
	// NewestSettings is the highest version of the settings that this process or a peer has.
	NewestSettings uint64
	// StoreEra counts how often the store came back from an older copy, as the store says, and StoreRestores how often
	// this process has noticed it. OmittedChanges is the number of changes that watches of the store left out.
	StoreEra, StoreRestores, OmittedChanges uint64
	// Evacuated is the number of endpoints in each evacuated failure domain.
	Evacuated map[string]int
	// ColdRefusals is the number of choices that left out an endpoint because of its limit while it is cold.
	ColdRefusals uint64
	// Quarantines is the number of quarantined parts of prompts.
	Quarantines int
	// BodyBytes is the memory that long bodies of requests hold, of at most BodyLimitBytes.
	BodyBytes, BodyLimitBytes int
	// AnswerBytes is the memory that the buffers of long answers hold, of at most AnswerLimitBytes.
	AnswerBytes, AnswerLimitBytes int
	// Peers is the number of peers with a valid report, ReportAge the age of the oldest of these reports.
	Peers     int
	ReportAge time.Duration
	// DroppedLines is the number of dropped log lines.
	DroppedLines uint64
}

// EndpointLoad is the capacity of an endpoint and the load on it as far as the process knows.
type EndpointLoad struct {
	Name, Service string
	// Slots is the number of concurrent requests the endpoint supports, Requests the number that all entries placed on
	// it. MemoryTokens is the capacity of its memory, Tokens the estimated use at the end of its requests.
	Slots, Requests      int
	MemoryTokens, Tokens int
	// FailureShare is the share of requests that failed recently, from 0 to 1.
	FailureShare      float64
	Draining, Suspect bool
	// Limit is the number of requests a second that the endpoint takes from all entries; nil for one without a limit.
	Limit *float64
	// Pause is the forecast of the longest pause of a stream beside a prompt; zero if it is unknown. Exposed is the number of streams
	// that a longer pause would make late.
	Pause   time.Duration
	Exposed int
}

// RetryBudget is the number of retries that a service can still make.
type RetryBudget struct {
	Service string
	Retries float64
}

// stateCollector reads a ProcessState at each scrape, so that removed endpoints leave no series behind.
type stateCollector struct {
	read func() ProcessState

	slots, requests, capacity, tokens, failures, leaving, suspect, limit *prometheus.Desc
	budget, version, settingsAge, storeAge, reportAge                    *prometheus.Desc
	peers, dropped                                                       *prometheus.Desc
	newestSettings, storeEra, storeRestores, omittedChanges              *prometheus.Desc
	pause, exposed                                                       *prometheus.Desc
	quarantines, bodyBytes, bodyLimit, answerBytes, answerLimit          *prometheus.Desc
	evacuated, coldRefusals                                              *prometheus.Desc
}

// NewStateCollectors returns collectors of the state that read returns, of the Go runtime and of the process.
func NewStateCollectors(read func() ProcessState) []prometheus.Collector {
	endpoint := func(name, help string) *prometheus.Desc {
		return prometheus.NewDesc("toucan_endpoint_"+name, help, []string{"endpoint", "service"}, nil)
	}
	plain := func(name, help string, labels ...string) *prometheus.Desc {
		return prometheus.NewDesc("toucan_"+name, help, labels, nil)
	}
	return []prometheus.Collector{
		&stateCollector{
			read:           read,
			slots:          endpoint("slots", "requests that the endpoint runs at once"),
			requests:       endpoint("requests", "requests that all entries are believed to have placed"),
			capacity:       endpoint("memory_tokens", "tokens that fit into the endpoint's memory"),
			tokens:         endpoint("tokens", "tokens that are forecast to be in memory at the end of its requests"),
			failures:       endpoint("failure_share", "share of this entry's requests that failed lately"),
			leaving:        endpoint("leaving", "1 for an endpoint that takes no new requests"),
			suspect:        endpoint("suspect", "1 for an endpoint that could not be reached lately"),
			limit:          endpoint("limit_per_second", "requests a second that the endpoint takes from all entries, if it says so"),
			pause:          endpoint("pause_forecast_seconds", "longest pause to expect of a stream beside which the endpoint reads a prompt"),
			exposed:        endpoint("exposed_streams", "streams that a longer pause would make late"),
			budget:         plain("retry_budget", "retries that may still be made", "service"),
			version:        plain("settings_version", "version of the settings in force"),
			settingsAge:    plain("settings_age_seconds", "time since the settings came into force"),
			storeAge:       plain("store_age_seconds", "time since the store last answered: the age of the list of endpoints"),
			reportAge:      plain("peer_report_age_seconds", "age of the oldest report of a peer that is heard"),
			newestSettings: plain("settings_newest_version", "highest version of the settings that this entry or a peer has"),
			storeEra:       plain("store_era", "how often the store came back from an older copy, as it says"),
			storeRestores:  plain("store_restores_total", "how often this entry noticed that the store came back from an older copy"),
			omittedChanges: plain("store_changes_omitted_total", "changes that a watch of the store left out"),
			evacuated:      plain("evacuated_endpoints", "endpoints in an evacuated failure domain, which get nothing new", "domain"),
			coldRefusals:   plain("cold_share_refusals_total", "choices that left out an endpoint because of its limit while it is cold"),
			quarantines:    plain("quarantines", "quarantines of parts of prompts that end engines"),
			bodyBytes:      plain("request_body_bytes", "memory that long bodies of requests hold"),
			bodyLimit:      plain("request_body_limit_bytes", "memory that long bodies of requests may hold"),
			answerBytes:    plain("answer_buffer_bytes", "memory that the buffers of long answers hold"),
			answerLimit:    plain("answer_buffer_limit_bytes", "memory that the buffers of long answers may hold"),
			peers:          plain("peers_heard", "peers that are heard"),
			dropped:        plain("log_lines_dropped_total", "log lines that were dropped"),
		},
		// Scrapes can be cut off at some kilobytes, and memory statistics precede all series of ours.
		collectors.NewGoCollector(collectors.WithGoCollectorMemStatsMetricsDisabled()),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	}
}

// Describe implements prometheus.Collector.
func (c *stateCollector) Describe(ch chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{
		c.slots, c.requests, c.capacity, c.tokens, c.failures, c.leaving, c.suspect, c.budget, c.version, c.settingsAge,
		c.storeAge, c.reportAge, c.peers, c.dropped, c.newestSettings, c.storeEra, c.storeRestores, c.omittedChanges,
		c.evacuated, c.coldRefusals, c.quarantines, c.limit, c.bodyBytes, c.bodyLimit, c.answerBytes, c.answerLimit,
	} {
		ch <- d
	}
}

// Collect implements prometheus.Collector.
func (c *stateCollector) Collect(ch chan<- prometheus.Metric) {
	state := c.read()
	for _, e := range mergeExcessEndpoints(state.Endpoints) {
		c.collectEndpoint(ch, e)
	}
	for _, s := range state.Budgets[:min(len(state.Budgets), maxBudgets)] {
		ch <- gauge(c.budget, s.Retries, s.Service)
	}
	if state.SettingsAge >= 0 {
		ch <- gauge(c.version, float64(state.SettingsVersion))
		ch <- gauge(c.settingsAge, state.SettingsAge.Seconds())
	}
	if state.StoreAge >= 0 {
		ch <- gauge(c.storeAge, state.StoreAge.Seconds())
	}
	ch <- gauge(c.peers, float64(state.Peers))
	if state.Peers > 0 {
		ch <- gauge(c.reportAge, state.ReportAge.Seconds())
	}
	ch <- gauge(c.newestSettings, float64(state.NewestSettings))
	ch <- gauge(c.storeEra, float64(state.StoreEra))
	for domain, n := range state.Evacuated {
		ch <- gauge(c.evacuated, float64(n), domain)
	}
	ch <- counter(c.coldRefusals, state.ColdRefusals)
	ch <- gauge(c.quarantines, float64(state.Quarantines))
	ch <- gauge(c.bodyBytes, float64(state.BodyBytes))
	ch <- gauge(c.bodyLimit, float64(state.BodyLimitBytes))
	ch <- gauge(c.answerBytes, float64(state.AnswerBytes))
	ch <- gauge(c.answerLimit, float64(state.AnswerLimitBytes))
	ch <- counter(c.storeRestores, state.StoreRestores)
	ch <- counter(c.omittedChanges, state.OmittedChanges)
	ch <- counter(c.dropped, state.DroppedLines)
}

func (c *stateCollector) collectEndpoint(ch chan<- prometheus.Metric, e EndpointLoad) {
	ch <- gauge(c.slots, float64(e.Slots), e.Name, e.Service)
	ch <- gauge(c.requests, float64(e.Requests), e.Name, e.Service)
	if e.MemoryTokens > 0 {
		ch <- gauge(c.capacity, float64(e.MemoryTokens), e.Name, e.Service)
		ch <- gauge(c.tokens, float64(e.Tokens), e.Name, e.Service)
	}
	ch <- gauge(c.failures, e.FailureShare, e.Name, e.Service)
	ch <- gauge(c.leaving, boolValue(e.Draining), e.Name, e.Service)
	ch <- gauge(c.suspect, boolValue(e.Suspect), e.Name, e.Service)
	if e.Pause > 0 {
		ch <- gauge(c.pause, e.Pause.Seconds(), e.Name, e.Service)
		ch <- gauge(c.exposed, float64(e.Exposed), e.Name, e.Service)
	}
	if e.Limit != nil {
		ch <- gauge(c.limit, *e.Limit, e.Name, e.Service)
	}
}

// mergeExcessEndpoints adds up the endpoints beyond maxEndpoints in one. Its failure share is the highest of theirs,
// and it is draining or suspect if any of them is.
func mergeExcessEndpoints(list []EndpointLoad) []EndpointLoad {
	if len(list) <= maxEndpoints {
		return list
	}
	rest := EndpointLoad{Name: otherEndpoints, Service: otherEndpoints}
	for _, e := range list[maxEndpoints:] {
		rest.Slots += e.Slots
		rest.Requests += e.Requests
		rest.MemoryTokens += e.MemoryTokens
		rest.Tokens += e.Tokens
		rest.Exposed += e.Exposed
		rest.Pause = max(rest.Pause, e.Pause)
		rest.FailureShare = max(rest.FailureShare, e.FailureShare)
		rest.Draining = rest.Draining || e.Draining
		rest.Suspect = rest.Suspect || e.Suspect
	}
	return append(list[:maxEndpoints:maxEndpoints], rest)
}

func gauge(d *prometheus.Desc, value float64, labels ...string) prometheus.Metric {
	return prometheus.MustNewConstMetric(d, prometheus.GaugeValue, value, labels...)
}

func counter(d *prometheus.Desc, n uint64) prometheus.Metric {
	return prometheus.MustNewConstMetric(d, prometheus.CounterValue, float64(n))
}

func boolValue(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
