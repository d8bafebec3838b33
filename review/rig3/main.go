// Command rig3 plays the cases of this review that are scripts. It starts the programs of the project and
// small stand-ins for clients, replicas and the operator on loopback addresses.
package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// Exit codes of a case.
const (
	exitHeld    = 0
	exitBroken  = 1
	exitNotRun  = 2
	maxDuration = 115 * time.Second
)

// cases holds the cases by name. Each returns whether the rule was broken.
var cases = map[string]func(ctx context.Context, w *world) (broken bool, err error){
	"poison-caller": poisonCaller,
	"poison-stream": poisonStream,
	"late-order":    lateOrder,
	"poison-dark":   poisonDark,
	"refused":       refused,
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig3 CASE ROOT RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(play(os.Args[1], os.Args[2], os.Args[3]))
}

// play plays a case and returns the exit code.
func play(name, root, record string) int {
	root, err := filepath.Abs(root)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	w, err := newWorld(root)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer w.stop()
	ctx, cancel := context.WithTimeout(context.Background(), maxDuration)
	defer cancel()
	broken, err := cases[name](ctx, w)
	w.logf("end: broken %v, error %v, processes that ended by themselves %v", broken, err, w.exits())
	w.mu.Lock()
	text := w.record.String()
	w.mu.Unlock()
	if writeErr := os.WriteFile(record, []byte(text), 0o600); writeErr != nil {
		fmt.Fprintln(os.Stderr, writeErr)
		return exitNotRun
	}
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	case broken:
		fmt.Println("the rule was broken")
		return exitBroken
	}
	fmt.Println("the rule held")
	return exitHeld
}
