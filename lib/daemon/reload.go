package daemon

import (
	"bytes"
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/phuslu/log"
)

// reloadInterval is how often the settings file is checked for changes.
const reloadInterval = time.Second

// WatchSettings calls reload at once, because the file at path may have changed since the settings
// were loaded, on SIGHUP and when its content has changed, until ctx is done. If reload fails, it must
// leave the current settings in effect; its error is logged.
func WatchSettings(ctx context.Context, path string, logger *log.Logger, reload func() error) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	current, _ := os.ReadFile(path)
	logReload(logger, "start", reload())
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	for {
		trigger := "file changed"
		select {
		case <-ctx.Done():
			return
		case <-hup:
			trigger = "signal"
		case <-ticker.C:
		}
		data, err := os.ReadFile(path)
		if trigger != "signal" && (err != nil || bytes.Equal(data, current)) {
			continue
		}
		current = data
		logReload(logger, trigger, reload())
	}
}

func logReload(logger *log.Logger, trigger string, err error) {
	e := logger.Info()
	if err != nil {
		e = logger.Warn()
	}
	e.Str("event", "settingsReloaded").Str("why", trigger).Err(err).Msg("")
}
