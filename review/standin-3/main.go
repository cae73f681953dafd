// Command standin-3 plays the cases of the third review. It starts instances
// of the built program, and runs their surroundings in this process: the
// platform's store and balancer, workers and clients. It exits with 1 if the
// rule of the case was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// cases holds the function of each case by its name.
var cases = map[string]func(*world) error{
	"count":    runCountCase,
	"grace":    runGraceCase,
	"drain":    runDrainCase,
	"settings": runSettingsCase,
}

const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

func main() { os.Exit(play()) }

// play runs the case that the command line names and returns the exit status.
func play() int {
	program := flag.String("program", "target/hornbeamlift", "program that is tested")
	recordPath := flag.String("record", "record.txt", "file for the record of the play")
	flag.Parse()
	run := cases[flag.Arg(0)]
	if run == nil {
		_, _ = fmt.Fprintln(os.Stderr, "no such case:", flag.Arg(0))
		return exitNotRun
	}
	w, err := newWorld(*program, *recordPath, os.Getenv("TROUBLE") != "0")
	if err != nil {
		_, _ = fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer w.record.close()
	go w.runWatch()
	err = run(w)
	w.close()
	if err != nil {
		w.record.note("the case could not run: %v", err)
		_, _ = fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	broken := w.record.brokenRules()
	for _, b := range broken {
		fmt.Println(b)
	}
	w.record.note("%d broken rules", len(broken))
	if len(broken) > 0 {
		return exitBroken
	}
	return exitHeld
}

// maxPlay is the longest time that a case may take.
const maxPlay = 100 * time.Second

// runWatch ends a case that takes too long or is interrupted, with all its
// processes.
func (w *world) runWatch() {
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	select {
	case <-interrupted:
	case <-time.After(maxPlay):
	case <-w.ctx.Done():
		return
	}
	w.close()
	os.Exit(exitNotRun)
}
