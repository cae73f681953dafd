// The program standin-4 plays the cases of the fourth review against processes
// of the product: it is the platform's store, the workers and the clients. It
// exits with 1 if the rule of the case was broken, with 0 if it held, and with 2
// if the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
)

// outcome is the result of a case, and the exit status.
type outcome int

const (
	held   outcome = 0
	broken outcome = 1
	failed outcome = 2
)

// cases holds the cases by name. A case runs without its disruption unless
// trouble is set.
var cases = map[string]func(rec *record, program string, trouble bool) (outcome, error){
	"task-stands-still": runTaskStandsStill,
	"jobs-cancelled":    runJobsCancelled,
}

func main() { os.Exit(int(run())) }

func run() outcome {
	name := flag.String("case", "", "name of the case")
	path := flag.String("record", "record.txt", "file for the record")
	program := flag.String("program", "target/hornbeamlift", "program of the product")
	flag.Parse()
	play, ok := cases[*name]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case")
		return failed
	}
	rec, err := newRecord(*path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.printf("case %s, trouble %v", *name, trouble)
	result, err := play(rec, *program, trouble)
	if err != nil {
		result = failed
		rec.printf("the case could not run: %v", err)
	}
	rec.printf("exit %d", result)
	return result
}
