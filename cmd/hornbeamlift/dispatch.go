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

const dispatchUsage = `Runs an instance on the users' platform. It accepts jobs from callers over HTTP
and starts their tasks on leased endpoints with enough free resources. An
instance finds the other instances, the endpoints and the configuration in the
platform's store.

The environment variable ` + platform.SettingsVariable + ` or the flag --settings gives the
path of the settings file. All its faults are reported at once. The file is
read again on SIGHUP.

On SIGTERM the instance reports that it is not ready, hands its endpoints over
to another instance, finishes the jobs of its callers and exits.`

// dispatchCommand returns the subcommand dispatch.
func dispatchCommand() *cli.Command {
	return &cli.Command{
		Name:        "dispatch",
		Usage:       "Run an instance on the users' platform.",
		Description: dispatchUsage,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "path of the settings file", Sources: cli.EnvVars(platform.SettingsVariable)},
			&cli.StringFlag{Name: "log-level", Value: "info", Usage: "lowest level that is logged: debug, info, warn or error"},
			&cli.IntFlag{Name: "gc-percent", Value: defaultGCPercent, Usage: "heap growth that triggers a garbage collection, in percent"},
		},
		Before: func(ctx context.Context, cmd *cli.Command) (context.Context, error) {
			return ctx, noArguments(ctx, cmd)
		},
		Action: runDispatch,
	}
}

const (
	// defaultGCPercent keeps peak memory low. The more frequent collections
	// take little processor time, because the heap is small.
	defaultGCPercent = 100
	// memoryShare is the part of the instance's memory limit that is set as the
	// soft memory limit of the Go runtime.
	memoryShare = 0.8
)

func runDispatch(ctx context.Context, cmd *cli.Command) error {
	settings, err := platform.ReadSettings(cmd.String("settings"))
	if err != nil {
		return err
	}
	level, err := logrus.ParseLevel(cmd.String("log-level"))
	if err != nil {
		return invalidUsage("log-level", err.Error())
	}
	settings.Clock = clock.System{}
	settings.Log = logrus.New()
	settings.Log.SetOutput(logline.NewWriter(os.Stdout, settings.Clock))
	settings.Log.SetFormatter(&logrus.JSONFormatter{TimestampFormat: "2006-01-02T15:04:05.000Z07:00"})
	settings.Log.SetLevel(level)
	debug.SetGCPercent(cmd.Int("gc-percent"))
	if settings.MemoryLimit > 0 {
		debug.SetMemoryLimit(int64(float64(settings.MemoryLimit) * memoryShare))
	}
	p, err := dispatch.New(settings, platform.Ports(cmd.String("settings"), settings))
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	return p.Run(ctx)
}
