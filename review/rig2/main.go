// Command rig plays the cases of this review that are scripts: it starts the processes of a small
// deployment, with stand-ins for replicas, clients, operator and platform, and checks one rule.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit codes of a case.
const (
	held      = 0
	ruleBroke = 1
	notRun    = 2
)

type scenario struct {
	machines, disks int
	run             func(w *world, trouble bool) (broken bool, err error)
}

var scenarios = map[string]scenario{
	"firstStart":  {3, 3, firstStart},
	"powerLosses": {3, 3, powerLosses},
	"oddWriter":   {3, 3, oddWriter},
	"oddService":  {3, 3, oddService},
}

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: rig SCENARIO REPOSITORY RECORD")
		os.Exit(notRun)
	}
	os.Exit(play(os.Args[1], os.Args[2], os.Args[3]))
}

func play(name, root, record string) int {
	s, ok := scenarios[name]
	if !ok {
		fmt.Fprintf(os.Stderr, "unknown scenario %q\n", name)
		return notRun
	}
	out, err := os.Create(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer out.Close()
	w, err := newWorld(root, out, s.machines, s.disks)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-stop
		w.close(0)
		os.Exit(notRun)
	}()
	broken, err := s.run(w, os.Getenv("TROUBLE") != "0")
	w.close(4)
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, err)
		return notRun
	case broken:
		w.record.addf("RULE BROKEN")
		return ruleBroke
	}
	w.record.addf("rule held")
	return held
}
