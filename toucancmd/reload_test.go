package toucancmd

import (
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"
)

func TestSIGHUPDuringTheStartDoesNotEndTheProcess(t *testing.T) {
	program, err := os.Executable()
	assert.NilError(t, err)
	for _, command := range []string{"platform", "entry", "sidecar"} {
		t.Run(command, func(t *testing.T) {
			file := filepath.Join(t.TempDir(), "settings")
			assert.NilError(t, syscall.Mkfifo(file, 0o600))
			cmd := exec.Cmd{Path: program, Args: []string{"toucanport", command, file}}
			assert.NilError(t, cmd.Start())
			settings, err := os.OpenFile(file, os.O_WRONLY, 0) // Waits until the process reads its settings.
			assert.NilError(t, err)
			assert.NilError(t, cmd.Process.Signal(syscall.SIGHUP))
			_, _ = settings.WriteString("no settings") // Fails if the process has ended.
			assert.NilError(t, settings.Close())
			_ = cmd.Wait() // The exit code tells.
			assert.Equal(t, cmd.ProcessState.ExitCode(), 1, "%s", cmd.ProcessState)
		})
	}
}
