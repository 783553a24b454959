package toucanprocess

import (
	"os"
	"os/signal"
	"syscall"
)

// OnReload calls f for each signal that asks the process to read its settings again, until the returned function is
// called.
func OnReload(f func()) (stop func()) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	done := make(chan struct{})
	go func() {
		for {
			select {
			case <-signals:
				f()
			case <-done:
				return
			}
		}
	}()
	return func() {
		signal.Stop(signals)
		close(done)
	}
}
