package main

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"hornbeamlift.example/hornbeamlift/internal/core/fault"
	"hornbeamlift.example/hornbeamlift/internal/decide/config"
	"hornbeamlift.example/hornbeamlift/internal/schema/configpb"
)

const checkUsage = `The check command reads a configuration file and reports every fault with the
path of its key: unknown keys, wrong types and units, values out of range, and
sums that cannot hold. When there is none, it prints a summary. It needs no
platform and changes nothing. The exit status is 1 when the file is faulty.`

// fileFlag names the configuration file of check and apply.
func fileFlag() cli.Flag {
	return &cli.StringFlag{Name: "file", Aliases: []string{"f"}, Usage: "Configuration file to read.", Required: true}
}

func checkCommand() *cli.Command {
	return &cli.Command{
		Name:         "check",
		Usage:        "check a configuration file",
		Description:  checkUsage,
		Flags:        []cli.Flag{fileFlag()},
		ArgValidator: noArguments,
		Action: func(_ context.Context, cmd *cli.Command) error {
			file, err := readFile(cmd.String("file"))
			if err != nil {
				return err
			}
			fmt.Fprint(cmd.Root().Writer, config.Summary(file))
			return nil
		},
	}
}

func readFile(name string) (*configpb.File, error) {
	data, err := os.ReadFile(name)
	if err != nil {
		return nil, fault.Wrap(err, fault.ConfigInvalid, fault.RanNo).WithField(name)
	}
	return config.Parse(data)
}
