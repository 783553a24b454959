package toucanprocess

import (
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"toucanport/toucanlog"
)

// Reloads receives SIGHUPs, which request a check of the settings. From CatchReloads on, a SIGHUP does not end the process.
type Reloads struct {
	signals chan os.Signal
	done    chan struct{}
}

// CatchReloads receives SIGHUPs from now on. They wait for Handle; several that wait count as one.
func CatchReloads() *Reloads {
	r := &Reloads{signals: make(chan os.Signal, 1), done: make(chan struct{})}
	signal.Notify(r.signals, syscall.SIGHUP)
	return r
}

// Handle calls check for each SIGHUP until Stop is called, and logs the result. check validates the settings file. It does not
// apply the settings, since addresses can't change while requests are in progress; the settings apply from the next start
// of the process. Handle returns at once.
func (r *Reloads) Handle(log *slog.Logger, check func() error) {
	go func() {
		for {
			select {
			case <-r.signals:
				logReload(log, check())
			case <-r.done:
				return
			}
		}
	}()
}

func logReload(log *slog.Logger, err error) {
	if err != nil {
		log.Error(toucanlog.MsgNotReloaded, toucanlog.Cause, err.Error())
		return
	}
	log.Info(toucanlog.MsgReloaded)
}

// Stop makes further SIGHUPs have no effect. It must be called at most once.
func (r *Reloads) Stop() { close(r.done) }
