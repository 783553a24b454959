package toucandev

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"toucanport/deploy"
	"toucanport/toucandeploy"
	"toucanport/toucanfake"
	"toucanport/toucanload"
	"toucanport/toucansettings"
)

// quickEngine configures an engine with decoding steps of about 1 ms and memory for a few dozen long outputs.
func quickEngine(name string) toucanfake.Config {
	cfg := toucanfake.DefaultConfig(name)
	cfg.StepBase = time.Millisecond
	cfg.StepPerSequence = 0
	cfg.StepPerPrefillToken = 0
	cfg.Blocks = 1024
	return cfg
}

func TestThousandStreamsComplete(t *testing.T) {
	for _, policy := range []toucansettings.Policy{toucansettings.PolicyNaive, toucansettings.PolicyToucan} {
		t.Run(string(policy), func(t *testing.T) { checkThousandStreams(t, policy) })
	}
}

func checkThousandStreams(t *testing.T, policy toucansettings.Policy) {
	d, err := toucandeploy.Parse("totora.toml", deploy.Totora)
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	system, err := Start(ctx, Config{
		Deployment: d,
		Listen:     loopback,
		Entries:    2,
		Policy:     policy,
		Seed:       1,
		Engine:     quickEngine,
		Log:        slog.New(slog.NewTextHandler(io.Discard, nil)),
	})
	assert.NilError(t, err)
	defer system.Wait()
	defer cancel()

	transport := &http.Transport{MaxIdleConnsPerHost: 64}
	defer transport.CloseIdleConnections()
	report := toucanload.RunBatch(ctx, toucanload.Config{
		Target:    "http://" + system.Entries()[1],
		Key:       system.WorkspaceKeys()[0].Key,
		Model:     "assistant",
		MaxTokens: 2000,
		Transport: transport,
	}, 1000, 64)
	assert.Equal(t, report.Broken, 0, report.FirstError)
	assert.Equal(t, report.Requests, 1000)
	assert.Equal(t, report.Completed, 1000, "%+v", report.Refusals)
	awaitMetric(t, "http://"+system.Operators()[1]+"/metrics", "toucan_time_to_first_token_seconds_bucket{class=\"plan\"")
}

// awaitMetric waits until a scrape contains a series. It polls, since recorded values are exported once per second.
func awaitMetric(t *testing.T, url, series string) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		resp, err := http.Get(url)
		if err != nil {
			return poll.Error(err)
		}
		defer resp.Body.Close()
		body, err := io.ReadAll(resp.Body)
		if err != nil {
			return poll.Error(err)
		}
		if !strings.Contains(string(body), series) {
			return poll.Continue("no %s in %d bytes", series, len(body))
		}
		return poll.Success()
	}, poll.WithTimeout(time.Minute))
}
