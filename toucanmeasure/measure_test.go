package toucanmeasure_test

import (
	"encoding/json"
	"flag"
	"os"
	"runtime"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"toucanport/toucanbubble"
	"toucanport/toucanmeasure"
	"toucanport/toucanrig"
	"toucanport/toucansettings"
)

// script/measure sets these flags and runs only TestMeasure.
var (
	deploymentName = flag.String("deployment", "", "deployment to measure; empty skips the measurement")
	policies       = flag.String("policy", "naive,toucan", "policies, separated by commas")
	load           = flag.Float64("load", 1, "load as a multiple of the deployment's capacity")
	seed           = flag.Uint64("seed", 1, "seed of arrivals and lengths")
	duration       = flag.Duration("duration", 120*time.Second, "time over which requests arrive")
	fault          = flag.String("fault", "", "fault of the first engine or its link")
	output         = flag.String("output", "", "file that the JSON lines are written to")
)

// runInBubble runs f under a fake clock. Yamux keeps timers in a process-wide sync.Pool, and a timer of one bubble must not
// be used in another; two garbage collections empty the pool.
func runInBubble(t *testing.T, f func(t *testing.T)) {
	t.Helper()
	runtime.GC()
	runtime.GC()
	toucanbubble.Test(t, f)
}

// TestMeasure measures the policies of -policy and writes a JSON line for each to -output.
func TestMeasure(t *testing.T) {
	if *deploymentName == "" {
		t.Skip("run by script/measure")
	}
	d, err := toucanrig.DeploymentByName(*deploymentName)
	assert.NilError(t, err)
	out, err := os.Create(*output)
	assert.NilError(t, err)
	defer func() { assert.NilError(t, out.Close()) }()
	for policy := range strings.SplitSeq(*policies, ",") {
		m := toucanmeasure.Measurement{
			Deployment: d,
			Policy:     toucansettings.Policy(policy),
			Load:       *load,
			Seed:       *seed,
			Duration:   *duration,
			Fault:      *fault,
		}
		assert.NilError(t, json.NewEncoder(out).Encode(measure(t, m)))
	}
}

func measure(t *testing.T, m toucanmeasure.Measurement) toucanmeasure.Row {
	t.Helper()
	var row toucanmeasure.Row
	runInBubble(t, func(t *testing.T) {
		var err error
		row, err = m.Run()
		assert.NilError(t, err)
	})
	return row
}

func TestMeasurementAnswersEveryRequest(t *testing.T) {
	policies := []toucansettings.Policy{toucansettings.PolicyNaive, toucansettings.PolicyToucan}
	for i, d := range toucanrig.Deployments() {
		t.Run(d.Name, func(t *testing.T) {
			m := toucanmeasure.Measurement{Deployment: d, Policy: policies[i], Load: 0.5, Seed: 3, Duration: time.Second}
			row := measure(t, m)
			assert.Assert(t, row.Requests > 25)
			assert.Equal(t, row.Lost, 0)
			assert.Equal(t, row.Completed+row.Refused+row.Failed, row.Requests)
		})
	}
}

func TestArrivalsFollowSeedAndLoad(t *testing.T) {
	for _, d := range toucanrig.Deployments() {
		var capacity float64
		for _, s := range d.Services {
			capacity += toucanmeasure.Capacity(d, s)
		}
		one := toucanmeasure.Arrivals(d, 1, 1, 10*time.Minute)
		assert.DeepEqual(t, one, toucanmeasure.Arrivals(d, 1, 1, 10*time.Minute))
		other := toucanmeasure.Arrivals(d, 1, 2, 10*time.Minute)
		assert.Assert(t, one[0] != other[0])
		rate := float64(len(one)) / (10 * time.Minute).Seconds()
		assert.Assert(t, rate > 0.9*capacity && rate < 1.1*capacity, "%.1f requests a second for %.1f", rate, capacity)
	}
}
