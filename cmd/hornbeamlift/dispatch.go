package main

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/sirupsen/logrus"
	"github.com/urfave/cli/v3"

	"hornbeamlift.example/hornbeamlift/internal/adapter/logline"
	"hornbeamlift.example/hornbeamlift/internal/core/clock"
	"hornbeamlift.example/hornbeamlift/internal/process/dispatch"
	"hornbeamlift.example/hornbeamlift/platform"
)

const usageDispatch = `Runs an instance on the users' platform. It takes jobs from callers over HTTP
and starts their tasks on endpoints that have room and leases. The instances
find each other, the endpoints and the configuration in the platform's store.

The settings file is the one that ` + platform.SettingsVariable + ` names. All its faults are
reported at once. It is read again on SIGHUP.

On SIGTERM the instance fails its readiness, hands its endpoints to another
instance, finishes the jobs of its callers and leaves.`

// dispatchCommand runs an instance on the users' platform.
func dispatchCommand() *cli.Command {
	return &cli.Command{
		Name:        "dispatch",
		Usage:       "Run an instance on the users' platform.",
		Description: usageDispatch,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "path of the settings file", Sources: cli.EnvVars(platform.SettingsVariable)},
			&cli.StringFlag{Name: "log-level", Value: "info", Usage: "least level of log lines: debug, info, warn or error"},
			&cli.IntFlag{Name: "gc-percent", Value: defaultGCPercent, Usage: "growth of the heap between collections, in percent"},
		},
		Before: func(ctx context.Context, cmd *cli.Command) (context.Context, error) {
			return ctx, noArguments(ctx, cmd)
		},
		Action: runDispatch,
	}
}

const (
	// defaultGCPercent keeps the peak of memory small, which costs little
	// processor time at this size of heap.
	defaultGCPercent = 100
	// memoryShare is the share of the memory limit that the runtime aims for.
	memoryShare = 0.8
)

func runDispatch(ctx context.Context, cmd *cli.Command) error {
	set, err := platform.ReadSettings(cmd.String("settings"))
	if err != nil {
		return err
	}
	level, err := logrus.ParseLevel(cmd.String("log-level"))
	if err != nil {
		return wrongUse("log-level", err.Error())
	}
	set.Clock = clock.System{}
	set.Log = logrus.New()
	set.Log.SetOutput(logline.NewWriter(os.Stdout, set.Clock))
	set.Log.SetFormatter(&logrus.JSONFormatter{TimestampFormat: "2006-01-02T15:04:05.000Z07:00"})
	set.Log.SetLevel(level)
	debug.SetGCPercent(cmd.Int("gc-percent"))
	if set.MemoryLimit > 0 {
		debug.SetMemoryLimit(int64(float64(set.MemoryLimit) * memoryShare))
	}
	p, err := dispatch.New(set, platform.Ports(cmd.String("settings"), set))
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	return p.Run(ctx)
}
