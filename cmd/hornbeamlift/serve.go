package main

import (
	"context"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/urfave/cli/v3"

	"hornbeamlift.example/hornbeamlift/internal/adapter/peer"
	"hornbeamlift.example/hornbeamlift/internal/core/clock"
	"hornbeamlift.example/hornbeamlift/internal/core/fault"
	"hornbeamlift.example/hornbeamlift/internal/core/ident"
	"hornbeamlift.example/hornbeamlift/internal/process/entry"
	"hornbeamlift.example/hornbeamlift/internal/process/settings"
	"hornbeamlift.example/hornbeamlift/internal/schema/settingspb"
)

const serveUsage = `Runs an entry instance. It accepts submissions from callers over HTTP,
starts their tasks on endpoints, and shares the work with the other instances of
the fleet.

Each flag can also be set with an environment variable: HORNBEAMLIFT_ and the
name of the flag in capitals, such as HORNBEAMLIFT_PEER_ADDRESS. All faults of
the settings are reported at once.

On SIGTERM the instance reports that it is not ready, refuses new submissions,
finishes those in flight and exits.`

// serveCommand returns the subcommand serve.
func serveCommand() *cli.Command {
	return &cli.Command{
		Name:        "serve",
		Usage:       "Run an entry instance.",
		Description: serveUsage,
		Flags:       settings.Flags(&settingspb.Serve{}),
		Action:      runServe,
	}
}

func runServe(ctx context.Context, cmd *cli.Command) error {
	var s settingspb.Serve
	if err := settings.Read(cmd, &s); err != nil {
		return err
	}
	cfg, err := serveConfig(&s)
	if err != nil {
		return err
	}
	p, err := entry.New(cfg)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	return p.Run(ctx)
}

// serveConfig returns the configuration of a process for settings that
// settings.Read has checked.
func serveConfig(s *settingspb.Serve) (entry.Config, error) {
	cfg := entry.Config{
		Self:                   ident.Process{Instance: ident.InstanceID(s.Instance)},
		DataCentre:             ident.DataCentre(s.DataCentre),
		CallerAddress:          s.CallerAddress,
		PeerAddress:            s.PeerAddress,
		OperatorAddress:        s.OperatorAddress,
		PlatformAddress:        s.PlatformAddress,
		Ordinal:                int(s.Ordinal),
		InstancesPerDataCentre: int(s.InstancesPerDataCentre),
		DataCentres:            int(s.DataCentres),
		Clock:                  clock.System{},
	}
	for _, p := range s.Peers {
		id, address, _ := strings.Cut(p, "=")
		cfg.Seeds = append(cfg.Seeds, peer.Target{Instance: ident.InstanceID(id), Address: address})
	}
	var err error
	if cfg.Token, err = readToken(s.TokenFile); err != nil {
		return cfg, err
	}
	if cfg.Log, err = newLog(s.LogFormat, s.LogLevel); err != nil {
		return cfg, err
	}
	if cfg.Retention, err = time.ParseDuration(s.Retention); err != nil {
		return cfg, fault.Wrap(err, fault.SettingsInvalid, fault.RanNo).WithField("retention")
	}
	if cfg.DrainTimeout, err = time.ParseDuration(s.DrainTimeout); err != nil {
		return cfg, fault.Wrap(err, fault.SettingsInvalid, fault.RanNo).WithField("drain-timeout")
	}
	return cfg, nil
}

// readToken reads the shared token and trims the white space around it.
func readToken(file string) (string, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return "", fault.Wrap(err, fault.SettingsInvalid, fault.RanNo).WithField("token-file")
	}
	token := strings.TrimSpace(string(data))
	if token == "" {
		return "", fault.New(fault.SettingsInvalid, fault.RanNo).WithField("token-file").WithDetail("is empty")
	}
	return token, nil
}

// newLog returns a logger that writes to standard error.
func newLog(format, level string) (*logrus.Logger, error) {
	log := logrus.New()
	l, err := logrus.ParseLevel(level)
	if err != nil {
		return nil, fault.Wrap(err, fault.SettingsInvalid, fault.RanNo).WithField("log-level")
	}
	log.SetLevel(l)
	switch format {
	case "json":
		log.SetFormatter(&logrus.JSONFormatter{})
	case "text":
	default:
		return nil, fault.New(fault.SettingsInvalid, fault.RanNo).WithField("log-format").WithDetail("must be text or json")
	}
	return log, nil
}
