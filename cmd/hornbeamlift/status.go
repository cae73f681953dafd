package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"hornbeamlift.example/hornbeamlift/internal/adapter/operator"
	"hornbeamlift.example/hornbeamlift/internal/core/fault"
)

const statusUsage = `The status command prints the state of instances as JSON: one object whose keys
are the operator addresses of the instances. --address may be given several
times, once for each instance. If the instances require a token, --token-file
gives the path of a file that contains it. The exit status is 1 if any instance
does not answer; the answers of the others are still printed.`

// statusTimeout is the time limit of the request to one instance.
const statusTimeout = 10 * time.Second

func statusCommand() *cli.Command {
	return &cli.Command{
		Name:        "status",
		Usage:       "print the state of instances",
		Description: statusUsage,
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "address", Usage: "Operator address of an instance.", Value: []string{"127.0.0.1:7012"}, Sources: cli.EnvVars("HORNBEAMLIFT_OPERATOR_ADDRESS")},
			&cli.StringFlag{Name: "token-file", Usage: "File with the operators' token.", Sources: cli.EnvVars("HORNBEAMLIFT_TOKEN_FILE")},
		},
		ArgValidator: noArguments,
		Action:       runStatus,
	}
}

func runStatus(ctx context.Context, cmd *cli.Command) error {
	token := ""
	if name := cmd.String("token-file"); name != "" {
		data, err := os.ReadFile(name)
		if err != nil {
			return invalidUsage("--token-file", err.Error())
		}
		token = strings.TrimSpace(string(data))
	}
	for _, address := range cmd.StringSlice("address") {
		if err := checkAddress("--address", address); err != nil {
			return err
		}
	}
	client := &http.Client{Timeout: statusTimeout, Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	reports := make(map[string]json.RawMessage)
	var failure error
	for _, address := range cmd.StringSlice("address") {
		report, err := operator.FetchStatus(ctx, client, address, token)
		if err != nil {
			failure = fault.From(err).WithField(address)
			fmt.Fprintln(cmd.Root().ErrWriter, failure)
			continue
		}
		reports[address] = report
	}
	data, err := json.Marshal(reports)
	if err != nil {
		return fault.Wrap(err, fault.Internal, fault.RanNo)
	}
	var indented bytes.Buffer
	if err := json.Indent(&indented, data, "", "  "); err != nil {
		return fault.Wrap(err, fault.Internal, fault.RanNo)
	}
	fmt.Fprintln(cmd.Root().Writer, indented.String())
	return failure
}
