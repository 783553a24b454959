package toucanconfig_test

import (
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"toucanport/toucanconfig"
	"toucanport/toucandocument"
)

const entryTOML = `
instance = "entry-1"
failureDomain = "qc-east-a"
listen = "10.0.0.5:8080"
operatorListen = "10.0.0.5:8081"
store = "10.0.0.2:2379"
instanceList = "10.0.0.3:80"
generationSecret = "0123456789abcdef0123456789abcdef"
insecure = true
[bounds]
requestBody = "1MiB"
requestDeadline = "90s"
`

func TestParseEntry(t *testing.T) {
	cfg, err := toucanconfig.ParseEntry("entry.toml", []byte(entryTOML))
	assert.NilError(t, err)
	assert.Equal(t, cfg.Listen.String(), "10.0.0.5:8080")
	assert.Equal(t, cfg.Bounds.RequestBody, toucandocument.MiB)
	assert.Equal(t, cfg.Bounds.RequestDeadline, 90*time.Second)
	assert.Assert(t, cfg.TLS == nil)
}

func TestParseSidecarReportsAllProblems(t *testing.T) {
	data, err := os.ReadFile("testdata/wrongSidecar.toml")
	assert.NilError(t, err)
	want, err := os.ReadFile("testdata/wrongSidecar.txt")
	assert.NilError(t, err)
	_, err = toucanconfig.ParseSidecar("sidecar.toml", data)
	assert.ErrorIs(t, err, toucandocument.ErrInvalid)
	assert.Equal(t, err.Error()+"\n", string(want))
}
