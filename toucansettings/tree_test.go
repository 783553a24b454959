package toucansettings

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestDuplicateKeyBelongsToFirstTeam(t *testing.T) {
	hash := HashKey("key")
	tree := NewTree([]Team{
		{Name: "alpha", Workspaces: []Workspace{{Name: "w", Team: "alpha", KeyHashes: []string{hash}}}},
		{Name: "beta", Workspaces: []Workspace{{Name: "w", Team: "beta", KeyHashes: []string{hash}}}},
	})
	w, ok := tree.WorkspaceByKey("key")
	assert.Assert(t, ok)
	assert.Equal(t, w.Team, "alpha")
}
