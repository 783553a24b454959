package toucanprocess

import (
	"os"
	"os/signal"
	"syscall"
)

// OnReload calls f for each SIGHUP, which requests a reload of the settings, until stop is called. stop must be called at
// most once.
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
