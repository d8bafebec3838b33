package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/phuslu/log"
)

// Task is a function that a process runs periodically.
type Task struct {
	// Name identifies the task in logs, such as "sweepClaims".
	Name string
	// Period is the delay before the first run, and between the end of a run and the
	// start of the next.
	Period time.Duration
	// Run performs one run. Errors are logged and do not stop the task.
	Run func(ctx context.Context) error
}

// RunTasks runs the tasks concurrently until ctx is done and all of them have returned.
func RunTasks(ctx context.Context, logger *log.Logger, tasks []Task) {
	var wg sync.WaitGroup
	for _, t := range tasks {
		wg.Go(func() { t.loop(ctx, logger) })
	}
	wg.Wait()
}

func (t Task) loop(ctx context.Context, logger *log.Logger) {
	timer := time.NewTimer(t.Period)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		if err := t.Run(ctx); err != nil && ctx.Err() == nil {
			logger.Warn().Str("event", "taskFailed").Str("task", t.Name).Err(err).Msg("")
		}
		timer.Reset(t.Period)
	}
}
