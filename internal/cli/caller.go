package cli

import (
	"context"
	"flag"
	"fmt"
	"os"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"github.com/quetzalstall/quetzalstall/pkg/api/callerv1"
)

// printMessage writes a message as indented JSON with the field names of the protocol.
func printMessage(console console, message proto.Message) error {
	text, err := protojson.MarshalOptions{Multiline: true, UseProtoNames: true, EmitUnpopulated: true}.Marshal(message)
	if err != nil {
		return errors.Wrap(err, "write answer")
	}
	_, err = fmt.Fprintln(console.out, string(text))
	return err
}

// readBody returns the contents of a file, or nothing when no file is named.
func readBody(path string) ([]byte, error) {
	if path == "" {
		return nil, nil
	}
	data, err := os.ReadFile(path)
	return data, errors.Wrap(err, "read body")
}

func setupSubmit(flags *flag.FlagSet) func(context.Context, console, []string) error {
	server := &server{}
	server.declare(flags)
	request := &callerv1.SubmitRequest{}
	flags.StringVar(&request.JobId, "job", "", "job id; repeating a submission with the same id is safe")
	flags.StringVar(&request.Profile, "profile", "", "name of the profile")
	flags.StringVar(&request.Caller, "caller", "", "party on whose behalf the job runs")
	input := flags.String("input", "", "file with the input of the tasks")
	return func(ctx context.Context, console console, _ []string) error {
		if request.JobId == "" || request.Profile == "" {
			return errors.Wrap(errUsage, "needs -job and -profile")
		}
		body, err := readBody(*input)
		if err != nil {
			return err
		}
		request.Input = body
		response, err := call(ctx, server, server.caller().Submit, request)
		if err != nil {
			return err
		}
		return printMessage(console, response)
	}
}

func setupCall(flags *flag.FlagSet) func(context.Context, console, []string) error {
	server := &server{}
	server.declare(flags)
	request := &callerv1.CallRequest{}
	flags.StringVar(&request.RequestId, "request", "", "request id")
	flags.StringVar(&request.Profile, "profile", "", "name of the profile")
	flags.StringVar(&request.Caller, "caller", "", "party on whose behalf the request runs")
	flags.BoolVar(&request.Resubmission, "resubmission", false, "the request id was sent before")
	firstSent := flags.String("first-sent", "", "time of the first submission in RFC 3339; now when empty")
	body := flags.String("body", "", "file with the body")
	return func(ctx context.Context, console console, _ []string) error {
		if request.RequestId == "" || request.Profile == "" {
			return errors.Wrap(errUsage, "needs -request and -profile")
		}
		sent := time.Now()
		if *firstSent != "" {
			parsed, err := time.Parse(time.RFC3339, *firstSent)
			if err != nil {
				return errors.Wrap(errUsage, "-first-sent needs a time in RFC 3339")
			}
			sent = parsed
		}
		request.FirstSentUnixMs = sent.UnixMilli()
		data, err := readBody(*body)
		if err != nil {
			return err
		}
		request.Body = data
		response, err := call(ctx, server, server.caller().Call, request)
		if err != nil {
			return err
		}
		return printMessage(console, response)
	}
}

func setupStatus(flags *flag.FlagSet) func(context.Context, console, []string) error {
	server := &server{}
	server.declare(flags)
	request := &callerv1.StatusRequest{}
	flags.StringVar(&request.JobId, "job", "", "job id")
	flags.StringVar(&request.RequestId, "request", "", "request id")
	return func(ctx context.Context, console console, _ []string) error {
		if (request.JobId == "") == (request.RequestId == "") {
			return errors.Wrap(errUsage, "needs -job or -request")
		}
		response, err := call(ctx, server, server.caller().Status, request)
		if err != nil {
			return err
		}
		return printMessage(console, response)
	}
}

func setupCancel(flags *flag.FlagSet) func(context.Context, console, []string) error {
	server := &server{}
	server.declare(flags)
	request := &callerv1.CancelRequest{}
	flags.StringVar(&request.JobId, "job", "", "job id")
	return func(ctx context.Context, console console, _ []string) error {
		if request.JobId == "" {
			return errors.Wrap(errUsage, "needs -job")
		}
		response, err := call(ctx, server, server.caller().Cancel, request)
		if err != nil {
			return err
		}
		return printMessage(console, response)
	}
}
