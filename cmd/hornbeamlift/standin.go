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

const usageStandIn = `Runs a stand-in for the platform's store or for an endpoint, for tests on one
machine. Its switches are PUT requests under /stand-in/.`

// standInCommand runs the stand-ins as processes. It is hidden, since users
// have the real platform.
func standInCommand() *cli.Command {
	address := &cli.StringFlag{Name: "address", Usage: "Address to listen on.", Value: "127.0.0.1:7000"}
	return &cli.Command{
		Name:        "stand-in",
		Usage:       "Run a stand-in for the platform, for tests.",
		Description: usageStandIn,
		Hidden:      true,
		Commands: []*cli.Command{
			{
				Name:   "store",
				Usage:  "Run a stand-in for the key-value store and the instance list.",
				Flags:  []cli.Flag{address},
				Action: runStandInStore,
			},
			{
				Name:  "endpoint",
				Usage: "Run a stand-in for an endpoint.",
				Flags: []cli.Flag{
					address,
					&cli.IntFlag{Name: "slots", Usage: "Tasks that run at once.", Value: 8},
					&cli.IntFlag{Name: "connections", Usage: "Open connections that are accepted.", Value: 64},
					&cli.FloatFlag{Name: "speed", Usage: "Divides the run time of each task.", Value: 1},
					&cli.DurationFlag{Name: "run-time", Usage: "Run time of a task whose input names none.", Value: 50 * time.Millisecond},
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
