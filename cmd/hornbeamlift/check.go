package main

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/urfave/cli/v3"

	"hornbeamlift.example/hornbeamlift/internal/core/fault"
	"hornbeamlift.example/hornbeamlift/internal/decide/config"
	"hornbeamlift.example/hornbeamlift/internal/schema/configpb"
	"hornbeamlift.example/hornbeamlift/platform"
)

const checkUsage = `The check command reads a configuration file and reports every fault with the
path of its key: unknown keys, wrong types and units, values out of range, and
limits that contradict each other. If there are no faults, it prints a summary.
It does not need the platform and changes nothing.

It can also check the settings file of an instance on the users' platform
(--settings) and the configuration as it is kept in the platform's store
(--stored). It reports the faults of all files. The exit status is 1 if a
configuration is invalid, and 2 if the settings are invalid.`

// fileFlag returns the flag --file of the subcommand apply, which requires it.
func fileFlag() cli.Flag {
	return &cli.StringFlag{Name: "file", Aliases: []string{"f"}, Usage: "Configuration file to read.", Required: true}
}

func checkCommand() *cli.Command {
	return &cli.Command{
		Name:        "check",
		Usage:       "check a configuration file",
		Description: checkUsage,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "file", Aliases: []string{"f"}, Usage: "Configuration file to read."},
			&cli.StringFlag{Name: "settings", Usage: "Settings file of an instance on the users' platform."},
			&cli.StringFlag{Name: "stored", Usage: "Configuration as it is kept in the platform's store."},
		},
		ArgValidator: noArguments,
		Action:       runCheck,
	}
}

func runCheck(_ context.Context, cmd *cli.Command) error {
	checks := []struct {
		flag  string
		check func(w io.Writer, name string) error
	}{{"file", checkFile}, {"settings", checkSettings}, {"stored", checkStored}}
	var faults fault.List
	checked := 0
	for _, c := range checks {
		name := cmd.String(c.flag)
		if name == "" {
			continue
		}
		checked++
		faults.Add(c.check(cmd.Root().Writer, name))
	}
	if checked == 0 {
		return invalidUsage("file", "one of --file, --settings and --stored is required")
	}
	return faults.Err()
}

func checkFile(w io.Writer, name string) error {
	file, err := readFile(name)
	if err == nil {
		fmt.Fprint(w, config.Summary(file))
	}
	return err
}

func checkSettings(w io.Writer, name string) error {
	settings, err := platform.ReadSettings(name)
	if err == nil {
		err = settings.Defaults().Validate()
	}
	if err == nil {
		fmt.Fprintf(w, "settings of instance %s in data centre %s\n", settings.Instance, settings.DataCentre)
	}
	return err
}

func checkStored(w io.Writer, name string) error {
	data, err := os.ReadFile(name)
	if err != nil {
		return fault.Wrap(err, fault.ConfigInvalid, fault.RanNo).WithField(name)
	}
	cfg, err := platform.ParseConfig(data)
	if err == nil {
		fmt.Fprintf(w, "configuration version %d, %d routes\n", cfg.Version, cfg.Routes())
	}
	return err
}

func readFile(name string) (*configpb.File, error) {
	data, err := os.ReadFile(name)
	if err != nil {
		return nil, fault.Wrap(err, fault.ConfigInvalid, fault.RanNo).WithField(name)
	}
	return config.Parse(data)
}
