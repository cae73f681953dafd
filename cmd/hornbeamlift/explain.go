package main

import (
	"context"
	"os"

	"github.com/urfave/cli/v3"

	"hornbeamlift.example/hornbeamlift/internal/adapter/logread"
	"hornbeamlift.example/hornbeamlift/internal/core/fault"
)

const explainUsage = `Tells the life of one job from the logs of any number of instances: who took
it, what happened to its runs, what the owner of the endpoints believed at that
time, and the answer. It says when lines are missing.

The first argument is the job's id. The others are log files; without any, the
lines are read from standard input. Text before the first brace of a line is
skipped, so that collected logs can be read as they are. The lines are sorted by
the time that their instance wrote, and instances' clocks may differ.

The exit status is 1 when no line names the job.`

// explainCommand tells the life of a job.
func explainCommand() *cli.Command {
	return &cli.Command{
		Name:        "explain",
		Usage:       "tell the life of a job from logs",
		ArgsUsage:   "ID [FILE ...]",
		Description: explainUsage,
		Action:      runExplain,
	}
}

func runExplain(_ context.Context, cmd *cli.Command) error {
	args := cmd.Args().Slice()
	if len(args) == 0 || args[0] == "" {
		return wrongUse("ID", "is required")
	}
	life := logread.NewLife(args[0])
	if err := readLogs(life, args[1:]); err != nil {
		return err
	}
	life.Tell(cmd.Root().Writer)
	if !life.Known() {
		return fault.New(fault.NotFound, fault.RanUnknown).WithField(args[0]).WithDetail("no line names the job")
	}
	return nil
}

// readLogs reads files, or standard input when there is none.
func readLogs(life *logread.Life, names []string) error {
	if len(names) == 0 {
		return life.Read(os.Stdin)
	}
	for _, name := range names {
		if err := readLog(life, name); err != nil {
			return err
		}
	}
	return nil
}

func readLog(life *logread.Life, name string) (err error) {
	f, err := os.Open(name)
	if err != nil {
		return fault.Wrap(err, fault.NotFound, fault.RanNo).WithField(name)
	}
	defer func() { _ = f.Close() }()
	return life.Read(f)
}
