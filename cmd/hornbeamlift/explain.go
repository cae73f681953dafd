package main

import (
	"context"
	"os"

	"github.com/urfave/cli/v3"

	"hornbeamlift.example/hornbeamlift/internal/adapter/logread"
	"hornbeamlift.example/hornbeamlift/internal/core/fault"
)

const explainUsage = `Shows the history of one job from the logs of any number of instances: which
instance took it, what happened to its runs, the state that the owner of the
endpoints logged at that time, and the answer. Conclusions on how the job ended
follow. The output says if log lines are missing.

The first argument is the job's id. The others are log files; without them, the
lines are read from standard input. Text before the first brace of a line is
skipped, so that the output of log collectors can be read directly. The lines
are sorted by the times that the instances logged. The clocks of instances may
differ.

The exit status is 1 if no line names the job.`

// explainCommand returns the subcommand explain.
func explainCommand() *cli.Command {
	return &cli.Command{
		Name:        "explain",
		Usage:       "show the history of a job from logs",
		ArgsUsage:   "ID [FILE ...]",
		Description: explainUsage,
		Action:      runExplain,
	}
}

func runExplain(_ context.Context, cmd *cli.Command) error {
	args := cmd.Args().Slice()
	if len(args) == 0 || args[0] == "" {
		return invalidUsage("ID", "is required")
	}
	history := logread.NewJobHistory(args[0])
	if err := readLogs(history, args[1:]); err != nil {
		return err
	}
	history.Write(cmd.Root().Writer)
	if !history.Found() {
		return fault.New(fault.NotFound, fault.RanUnknown).WithField(args[0]).WithDetail("no line names the job")
	}
	return nil
}

// readLogs reads the named files, or standard input if there are none.
func readLogs(history *logread.JobHistory, names []string) error {
	if len(names) == 0 {
		return history.Read(os.Stdin)
	}
	for _, name := range names {
		if err := readLog(history, name); err != nil {
			return err
		}
	}
	return nil
}

func readLog(history *logread.JobHistory, name string) (err error) {
	f, err := os.Open(name)
	if err != nil {
		return fault.Wrap(err, fault.NotFound, fault.RanNo).WithField(name)
	}
	defer func() { _ = f.Close() }()
	return history.Read(f)
}
