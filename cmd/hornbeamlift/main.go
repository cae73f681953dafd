// Command hornbeamlift dispatches short tasks from callers to endpoints.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strconv"
	"syscall"

	"github.com/urfave/cli/v3"

	"hornbeamlift.example/hornbeamlift/internal/core/fault"
)

// version is set by the linker in releases.
var version = "devel"

// Exit statuses: exitUsage if the command line or the settings are invalid, and
// exitFailure for any other error.
const (
	exitFailure = 1
	exitUsage   = 2
)

const mainUsage = `hornbeamlift dispatches short tasks from callers to endpoints. It runs as a
fleet of entry instances. The subcommands check and apply the operators'
configuration, submit work, and show the state of instances. Run a subcommand
with --help for its description.`

// commands lists the constructors of all subcommands, in the order in which the
// help shows them.
var commands = []func() *cli.Command{
	checkCommand,
	applyCommand,
	submitCommand,
	statusCommand,
	serveCommand,
	dispatchCommand,
	explainCommand,
	demoCommand,
	standInCommand,
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	status := run(ctx, os.Args, os.Stdout, os.Stderr)
	stop()
	os.Exit(status)
}

// run executes one command line and returns the exit status.
func run(ctx context.Context, args []string, out, errOut io.Writer) int {
	root := &cli.Command{
		Name:           "hornbeamlift",
		Usage:          "dispatch short tasks from callers to endpoints",
		Description:    mainUsage,
		Version:        version,
		Writer:         out,
		ErrWriter:      errOut,
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		OnUsageError:   usageError,
		Action: func(_ context.Context, cmd *cli.Command) error {
			if cmd.Args().Present() {
				return invalidUsage("", "there is no subcommand "+strconv.Quote(cmd.Args().First()))
			}
			return invalidUsage("", "a subcommand is required; see --help")
		},
	}
	for _, command := range commands {
		c := command()
		c.OnUsageError = usageError
		root.Commands = append(root.Commands, c)
	}
	err := root.Run(ctx, args)
	if err == nil {
		return 0
	}
	fmt.Fprintln(errOut, err)
	var typed *fault.Error
	if !errors.As(err, &typed) || typed.Kind == fault.SettingsInvalid {
		return exitUsage
	}
	return exitFailure
}

// usageError converts an error of the flag parser to one that makes run return
// exitUsage.
func usageError(_ context.Context, _ *cli.Command, err error, _ bool) error {
	return invalidUsage("", err.Error())
}

// invalidUsage returns an error that makes run return exitUsage. flag is the
// name of the invalid flag or argument, or empty.
func invalidUsage(flag, detail string) error {
	return fault.New(fault.SettingsInvalid, fault.RanNo).WithField(flag).WithDetail(detail)
}

// noArguments returns an error if there are positional arguments.
func noArguments(_ context.Context, cmd *cli.Command) error {
	if cmd.Args().Present() {
		return invalidUsage("", "unexpected argument "+strconv.Quote(cmd.Args().First()))
	}
	return nil
}
