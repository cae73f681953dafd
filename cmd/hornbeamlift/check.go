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
sums that cannot hold. When there is none, it prints a summary. It needs no
platform and changes nothing.

It also reads the settings file of an instance on the users' platform
(--settings) and the configuration as the platform's store keeps it (--stored).
All faults of all files are listed. The exit status is 1 when a configuration is
faulty, and 2 when the settings are.`

// fileFlag names the configuration file of check and apply.
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
			&cli.StringFlag{Name: "stored", Usage: "Configuration as the platform's store keeps it."},
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
	var found fault.List
	checked := 0
	for _, c := range checks {
		name := cmd.String(c.flag)
		if name == "" {
			continue
		}
		checked++
		found.Add(c.check(cmd.Root().Writer, name))
	}
	if checked == 0 {
		return wrongUse("file", "one of --file, --settings and --stored is required")
	}
	return found.Err()
}

func checkFile(w io.Writer, name string) error {
	file, err := readFile(name)
	if err == nil {
		fmt.Fprint(w, config.Summary(file))
	}
	return err
}

func checkSettings(w io.Writer, name string) error {
	set, err := platform.ReadSettings(name)
	if err == nil {
		err = set.Defaults().Validate()
	}
	if err == nil {
		fmt.Fprintf(w, "settings of instance %s in data centre %s\n", set.Instance, set.DataCentre)
	}
	return err
}

func checkStored(w io.Writer, name string) error {
	data, err := os.ReadFile(name)
	if err != nil {
		return fault.Wrap(err, fault.ConfigInvalid, fault.RanNo).WithField(name)
	}
	table, err := platform.ParseConfig(data)
	if err == nil {
		fmt.Fprintf(w, "configuration version %d, %d routes\n", table.Version, table.Routes())
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
