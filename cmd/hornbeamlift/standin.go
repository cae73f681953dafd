package main

import (
	"context"
	"os/signal"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"hornbeamlift.example/hornbeamlift/internal/core/clock"
	"hornbeamlift.example/hornbeamlift/internal/standin/platform"
)

const standInUsage = `Runs a simulated store of the platform or a simulated endpoint, for tests on one
machine. PUT requests under /stand-in/ inject faults and change its state.`

// standInCommand returns the subcommand stand-in, which runs a simulated store
// or endpoint as a process. It is hidden, because users have the real platform.
func standInCommand() *cli.Command {
	address := &cli.StringFlag{Name: "address", Usage: "Address to listen on.", Value: "127.0.0.1:7000"}
	return &cli.Command{
		Name:        "stand-in",
		Usage:       "Run a simulated part of the platform, for tests.",
		Description: standInUsage,
		Hidden:      true,
		Commands: []*cli.Command{
			{
				Name:   "store",
				Usage:  "Run a simulated key-value store with the instance list.",
				Flags:  []cli.Flag{address},
				Action: runStandInStore,
			},
			{
				Name:  "endpoint",
				Usage: "Run a simulated endpoint.",
				Flags: []cli.Flag{
					address,
					&cli.IntFlag{Name: "slots", Usage: "Most tasks that run at once.", Value: 8},
					&cli.IntFlag{Name: "connections", Usage: "Most open connections.", Value: 64},
					&cli.FloatFlag{Name: "speed", Usage: "Factor by which the run time of each task is divided.", Value: 1},
					&cli.DurationFlag{Name: "run-time", Usage: "Run time of a task whose input does not give one.", Value: 50 * time.Millisecond},
				},
				Action: runStandInEndpoint,
			},
		},
	}
}

func runStandInStore(ctx context.Context, cmd *cli.Command) error {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	return platform.NewStore(platform.StoreSettings{Clock: clock.System{}}).Run(ctx, cmd.String("address"))
}

func runStandInEndpoint(ctx context.Context, cmd *cli.Command) error {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	e, err := platform.NewEndpoint(platform.EndpointSettings{
		Slots:       cmd.Int("slots"),
		Connections: cmd.Int("connections"),
		Speed:       cmd.Float("speed"),
		RunTime:     cmd.Duration("run-time"),
		Clock:       clock.System{},
	})
	if err != nil {
		return err
	}
	return e.Run(ctx, cmd.String("address"))
}
