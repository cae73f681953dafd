package main

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"strconv"

	"github.com/urfave/cli/v3"

	"hornbeamlift.example/hornbeamlift/internal/adapter/operator"
	"hornbeamlift.example/hornbeamlift/internal/adapter/platform"
	"hornbeamlift.example/hornbeamlift/internal/core/clock"
	"hornbeamlift.example/hornbeamlift/internal/core/ident"
)

const applyUsage = `The apply command puts a configuration file in force. It checks the file, shows
the keys that change, and replaces the configuration in the platform's store.
If another operator has replaced it in the meantime, the command fails with the
name of that operator and the revision, and changes nothing. If the store's
reply is lost, it reads the configuration back to find out whether the apply
took effect. With --dry-run it only shows the changes. Instances put an accepted
configuration in force within seconds.`

// newApplier returns an applier that reads and writes the platform's store at
// the address. It is a variable so that tests can replace it.
var newApplier = func(address string) (*operator.Applier, error) {
	client, err := platform.New(platform.Settings{Address: address, Clock: clock.System{}})
	if err != nil {
		return nil, err
	}
	return operator.NewApplier(client), nil
}

func applyCommand() *cli.Command {
	return &cli.Command{
		Name:        "apply",
		Usage:       "put a configuration file in force",
		Description: applyUsage,
		Flags: []cli.Flag{
			fileFlag(),
			&cli.StringFlag{Name: "platform-address", Usage: "Address of the platform's store.", Value: "127.0.0.1:7000", Sources: cli.EnvVars("HORNBEAMLIFT_PLATFORM_ADDRESS")},
			&cli.StringFlag{Name: "operator", Usage: "Name of the operator, shown to other operators.", Required: true, Sources: cli.EnvVars("HORNBEAMLIFT_OPERATOR")},
			&cli.BoolFlag{Name: "dry-run", Usage: "Show the changes and write nothing."},
		},
		ArgValidator: noArguments,
		Action:       runApply,
	}
}

func runApply(ctx context.Context, cmd *cli.Command) error {
	name := cmd.String("operator")
	if !ident.ValidName(name) {
		return invalidUsage("--operator", strconv.Quote(name)+" is not a name of 1 to 64 characters from a-z, 0-9 and inner hyphens")
	}
	address := cmd.String("platform-address")
	if err := checkAddress("--platform-address", address); err != nil {
		return err
	}
	file, err := readFile(cmd.String("file"))
	if err != nil {
		return err
	}
	applier, err := newApplier(address)
	if err != nil {
		return err
	}
	applier.Clock, applier.NewID = clock.System{}, newApplyID
	plan, err := applier.Plan(ctx, file, name)
	if err != nil {
		return err
	}
	out := cmd.Root().Writer
	for _, line := range plan.Changes {
		fmt.Fprintln(out, line)
	}
	if cmd.Bool("dry-run") {
		fmt.Fprintf(out, "revision %d would change %d keys; nothing was written\n", plan.Next.GetRevision(), len(plan.Changes))
		return nil
	}
	if err := applier.Apply(ctx, plan); err != nil {
		return err
	}
	fmt.Fprintf(out, "revision %d is in the store, %d keys changed\n", plan.Next.GetRevision(), len(plan.Changes))
	return nil
}

// newApplyID returns an id of 128 random bits.
func newApplyID() string {
	var id [16]byte
	_, _ = rand.Read(id[:]) // never returns an error; on a failure the process exits
	return hex.EncodeToString(id[:])
}
