// The program standin runs one case of the review: it starts the stand-ins of
// the platform, the workers and the clients, and the project's own program as
// separate processes. It exits with 1 if a rule was broken, 0 if it held, and 2
// if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: standin CASE PROGRAM RECORD")
		return 2
	}
	cases := map[string]func(*fleet, bool) (bool, error){"cancel": runCancel}
	play := cases[os.Args[1]]
	if play == nil {
		fmt.Fprintln(os.Stderr, "no such case")
		return 2
	}
	f, err := newFleet(os.Args[3], os.Args[2], manifest(7, 10_000))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer f.close()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-signals
		f.close()
		os.Exit(2)
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	broken, err := play(f, trouble)
	switch {
	case err != nil:
		f.rec.logf("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return 2
	case broken:
		f.rec.logf("result: the rule was broken")
		return 1
	}
	f.rec.logf("result: the rule held")
	return 0
}
