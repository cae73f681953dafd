package main

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"strconv"
	"time"

	"github.com/urfave/cli/v3"

	"hornbeamlift.example/hornbeamlift/internal/adapter/caller"
	"hornbeamlift.example/hornbeamlift/internal/core/clock"
	"hornbeamlift.example/hornbeamlift/internal/core/fault"
	"hornbeamlift.example/hornbeamlift/internal/core/ident"
	"hornbeamlift.example/hornbeamlift/internal/core/work"
)

const submitUsage = `The submit command sends one request or one job and prints its answer as JSON.
--request gives the input of a request. --job gives the path of a file with a
JSON list of tasks such as [{"input": "a", "deadline-ms": 500, "size": 2}]; only
the input is required. If the connection is lost, the submission is sent again
under the same id, which does not run its tasks a second time. With --id the
submission gets that id; if it was submitted before, the command waits for the
answer to the earlier submission. --fetch prints the present answer of a
submission and --cancel cancels it. The exit status is 1 if the submission is
refused or fails.`

func submitCommand() *cli.Command {
	return &cli.Command{
		Name:        "submit",
		Usage:       "send work and print its answer",
		Description: submitUsage,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "address", Usage: "Address on which an instance serves callers.", Value: "127.0.0.1:7010", Sources: cli.EnvVars("HORNBEAMLIFT_CALLER_ADDRESS")},
			&cli.StringFlag{Name: "request", Usage: "Input of a single request."},
			&cli.StringFlag{Name: "job", Usage: "File with the tasks of a job."},
			&cli.StringFlag{Name: "fetch", Usage: "Id of a submission to print the answer of."},
			&cli.StringFlag{Name: "cancel", Usage: "Id of a submission to cancel."},
			&cli.StringFlag{Name: "service", Usage: "Service that runs the work."},
			&cli.StringFlag{Name: "team", Usage: "Team whose quota the work counts against."},
			&cli.StringFlag{Name: "id", Usage: "Id of the submission."},
			&cli.StringFlag{Name: "key", Usage: "Idempotency key of the submission."},
			&cli.DurationFlag{Name: "deadline", Usage: "Time limit for the answer.", Value: time.Minute},
		},
		ArgValidator: noArguments,
		Action:       runSubmit,
	}
}

func runSubmit(ctx context.Context, cmd *cli.Command) error {
	if err := checkAddress("--address", cmd.String("address")); err != nil {
		return err
	}
	var action string
	for _, name := range []string{"request", "job", "fetch", "cancel"} {
		if cmd.IsSet(name) && action != "" {
			return invalidUsage("--"+name, "cannot be combined with --"+action)
		}
		if cmd.IsSet(name) {
			action = name
		}
	}
	client := caller.NewClient(cmd.String("address"), clock.System{})
	defer client.Close()
	var answer work.Answer
	var err error
	switch action {
	case "request", "job":
		answer, err = sendSubmission(ctx, cmd, client, action)
	case "fetch", "cancel":
		answer, err = fetchOrCancel(ctx, cmd, client, action)
	default:
		return invalidUsage("", "one of --request, --job, --fetch and --cancel is required")
	}
	if err != nil {
		return err
	}
	return printAnswer(cmd, answer)
}

func sendSubmission(ctx context.Context, cmd *cli.Command, client *caller.Client, action string) (work.Answer, error) {
	call := caller.Call{
		Key:      cmd.String("key"),
		Service:  ident.Service(cmd.String("service")),
		Team:     ident.Team(cmd.String("team")),
		Deadline: cmd.Duration("deadline"),
	}
	for _, name := range []string{"service", "team"} {
		if !ident.ValidName(cmd.String(name)) {
			return work.Answer{}, invalidUsage("--"+name, "a valid name is required")
		}
	}
	if call.Deadline < time.Millisecond {
		return work.Answer{}, invalidUsage("--deadline", "must be at least 1ms")
	}
	if cmd.IsSet("id") {
		id, err := parseID(cmd, "id")
		if err != nil {
			return work.Answer{}, err
		}
		call.ID = id
	}
	if action == "request" {
		call.Tasks = []caller.Task{{Input: []byte(cmd.String("request"))}}
		return client.Request(ctx, call)
	}
	data, err := os.ReadFile(cmd.String("job"))
	if err != nil {
		return work.Answer{}, invalidUsage("--job", err.Error())
	}
	if call.Tasks, err = caller.ParseTasks(data); err != nil {
		return work.Answer{}, err
	}
	return client.Job(ctx, call)
}

func fetchOrCancel(ctx context.Context, cmd *cli.Command, client *caller.Client, action string) (work.Answer, error) {
	id, err := parseID(cmd, action)
	if err != nil {
		return work.Answer{}, err
	}
	if action == "cancel" {
		return client.Cancel(ctx, id)
	}
	return client.Fetch(ctx, id)
}

func parseID(cmd *cli.Command, flag string) (ident.SubmissionID, error) {
	id, err := ident.ParseSubmissionID(cmd.String(flag))
	if err != nil {
		return id, invalidUsage("--"+flag, fault.From(err).Detail)
	}
	return id, nil
}

func printAnswer(cmd *cli.Command, answer work.Answer) error {
	data, err := caller.EncodeAnswer(answer)
	if err != nil {
		return fault.Wrap(err, fault.Internal, fault.RanUnknown)
	}
	fmt.Fprintln(cmd.Root().Writer, string(data))
	if answer.State != work.Failed {
		return nil
	}
	if len(answer.Failures) > 0 {
		return answer.Failures[0].Error
	}
	return fault.New(fault.OutcomeUnknown, fault.RanUnknown).WithDetail("the submission failed")
}

func checkAddress(flag, address string) error {
	if _, err := netip.ParseAddrPort(address); err != nil {
		return invalidUsage(flag, strconv.Quote(address)+` is not an address of the form "IP:port"`)
	}
	return nil
}
