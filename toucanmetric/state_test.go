package toucanmetric

import (
	"fmt"
	"io"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// scrape returns the sample lines of the metrics, without comments.
func scrape(t *testing.T, read func() ProcessState) []string {
	t.Helper()
	_, handler, closer := New(NewStateCollectors(read)...)
	defer func() { assert.NilError(t, closer.Close()) }()
	server := httptest.NewServer(handler)
	defer server.Close()
	resp, err := server.Client().Get(server.URL)
	assert.NilError(t, err)
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	var lines []string
	for _, line := range strings.Split(string(body), "\n") {
		if line != "" && !strings.HasPrefix(line, "#") {
			lines = append(lines, line)
		}
	}
	return lines
}

func hasLinePrefix(lines []string, want string) bool {
	for _, line := range lines {
		if strings.HasPrefix(line, want) {
			return true
		}
	}
	return false
}

func TestCollectorExportsState(t *testing.T) {
	limit := 2.5
	lines := scrape(t, func() ProcessState {
		return ProcessState{
			Endpoints: []EndpointLoad{{
				Name: "e1", Service: "s", Slots: 4, Requests: 3, MemoryTokens: 1000, Tokens: 700, FailureShare: 0.25, Suspect: true, Limit: &limit,
				Pause: 185 * time.Millisecond, Exposed: 2,
			}},
			Budgets:         []RetryBudget{{Service: "s", Retries: 1.5}},
			SettingsVersion: 7,
			SettingsAge:     3 * time.Second,
			StoreAge:        250 * time.Millisecond,
			Peers:           2,
			ReportAge:       40 * time.Millisecond,
			DroppedLines:    5,
			BodyBytes:       65536,
			BodyLimitBytes:  131072,
			AnswerBytes:     4096,
		}
	})
	for _, want := range []string{
		`toucan_endpoint_slots{endpoint="e1",service="s"} 4`,
		`toucan_endpoint_limit_per_second{endpoint="e1",service="s"} 2.5`,
		`toucan_endpoint_pause_forecast_seconds{endpoint="e1",service="s"} 0.185`,
		`toucan_endpoint_exposed_streams{endpoint="e1",service="s"} 2`,
		`toucan_endpoint_requests{endpoint="e1",service="s"} 3`,
		`toucan_endpoint_memory_tokens{endpoint="e1",service="s"} 1000`,
		`toucan_endpoint_tokens{endpoint="e1",service="s"} 700`,
		`toucan_endpoint_failure_share{endpoint="e1",service="s"} 0.25`,
		`toucan_endpoint_leaving{endpoint="e1",service="s"} 0`,
		`toucan_endpoint_suspect{endpoint="e1",service="s"} 1`,
		`toucan_retry_budget{service="s"} 1.5`,
		`toucan_settings_version 7`,
		`toucan_settings_age_seconds 3`,
		`toucan_store_age_seconds 0.25`,
		`toucan_peers_heard 2`,
		`toucan_peer_report_age_seconds 0.04`,
		`toucan_log_lines_dropped_total 5`,
		`toucan_request_body_bytes 65536`,
		`toucan_request_body_limit_bytes 131072`,
		`toucan_answer_buffer_bytes 4096`,
		`toucan_answer_buffer_limit_bytes 0`,
		`go_goroutines `,
		`process_open_fds `,
		`process_resident_memory_bytes `,
	} {
		assert.Assert(t, hasLinePrefix(lines, want), "no line %q", want)
	}
}

func TestUnknownValuesAreOmitted(t *testing.T) {
	lines := scrape(t, func() ProcessState { return ProcessState{SettingsAge: -1, StoreAge: -1} })
	for _, name := range []string{"toucan_settings_version", "toucan_settings_age", "toucan_store_age", "toucan_peer_report_age"} {
		assert.Assert(t, !hasLinePrefix(lines, name), name)
	}
}

// TestCollectorLimitsSeries checks the number of series with far more endpoints and services than can have separate
// gauges.
func TestCollectorLimitsSeries(t *testing.T) {
	const (
		endpoints = 3400
		// gaugesEach is the number of gauges per endpoint, others an upper bound for the gauges independent of
		// endpoints and services.
		gaugesEach = 7
		others     = 100
	)
	lines := scrape(t, func() ProcessState {
		var b ProcessState
		for i := range endpoints {
			b.Endpoints = append(b.Endpoints, EndpointLoad{Name: fmt.Sprintf("e%04d", i), Service: "s", Slots: 2, MemoryTokens: 10})
			b.Budgets = append(b.Budgets, RetryBudget{Service: fmt.Sprint("s", i)})
		}
		return b
	})
	assert.Assert(t, len(lines) <= (maxEndpoints+1)*gaugesEach+maxBudgets+others, "%d series", len(lines))
	rest := fmt.Sprintf(`toucan_endpoint_slots{endpoint="other",service="other"} %d`, 2*(endpoints-maxEndpoints))
	assert.Assert(t, hasLinePrefix(lines, rest), rest)
}
