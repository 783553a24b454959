package toucanregister

import (
	"net/netip"
	"testing"

	"gotest.tools/v3/assert"

	"toucanport/toucanstore"
)

// TestReadPeersSkipsInvalidAddresses checks that only keys of entries with a valid address are returned.
func TestReadPeersSkipsInvalidAddresses(t *testing.T) {
	values := map[string]toucanstore.Value{
		keyPrefix + "a": {Body: []byte("10.0.0.1:7000")},
		keyPrefix + "b": {Body: []byte("nonsense")},
		"other/c":       {Body: []byte("10.0.0.1:7000")},
	}
	assert.Equal(t, len(ReadPeers(values)), 1)
	assert.Equal(t, ReadPeers(values)["a"], netip.MustParseAddrPort("10.0.0.1:7000"))
}
