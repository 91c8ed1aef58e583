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

// printMessage writes a message as indented JSON with the field names of the Protocol Buffers definition.
func printMessage(console console, message proto.Message) error {
	text, err := protojson.MarshalOptions{Multiline: true, UseProtoNames: true, EmitUnpopulated: true}.Marshal(message)
	if err != nil {
		return errors.Wrap(err, "write response")
	}
	_, err = fmt.Fprintln(console.out, string(text))
	return err
}

// readBody returns the contents of a file, or nil if path is empty.
func readBody(path string) ([]byte, error) {
	if path == "" {
		return nil, nil
	}
	data, err := os.ReadFile(path)
	return data, errors.Wrap(err, "read body")
}

func setupSubmit(flags *flag.FlagSet) func(context.Context, console, []string) error {
	server := &server{}
	server.addFlags(flags)
	request := &callerv1.SubmitRequest{}
	flags.StringVar(&request.JobId, "job", "", "job id; a submission can be repeated safely with the same id")
	flags.StringVar(&request.Profile, "profile", "", "name of the profile")
	flags.StringVar(&request.Caller, "caller", "", "party on whose behalf the job runs")
	input := flags.String("input", "", "file with the input of the job's tasks")
	return func(ctx context.Context, console console, _ []string) error {
		if request.JobId == "" || request.Profile == "" {
			return errors.Wrap(errUsage, "-job and -profile are required")
		}
		body, err := readBody(*input)
		if err != nil {
			return err
		}
		request.Input = body
		response, err := call(ctx, server, server.callerClient().Submit, request)
		if err != nil {
			return err
		}
		return printMessage(console, response)
	}
}

func setupCall(flags *flag.FlagSet) func(context.Context, console, []string) error {
	server := &server{}
	server.addFlags(flags)
	request := &callerv1.CallRequest{}
	flags.StringVar(&request.RequestId, "request", "", "request id")
	flags.StringVar(&request.Profile, "profile", "", "name of the profile")
	flags.StringVar(&request.Caller, "caller", "", "party on whose behalf the request runs")
	flags.BoolVar(&request.Resubmission, "resubmission", false, "set if the request id was sent before")
	firstSent := flags.String("first-sent", "", "time of the first submission in RFC 3339 format; empty means now")
	body := flags.String("body", "", "file with the body of the request")
	return func(ctx context.Context, console console, _ []string) error {
		if request.RequestId == "" || request.Profile == "" {
			return errors.Wrap(errUsage, "-request and -profile are required")
		}
		firstSentTime := time.Now()
		if *firstSent != "" {
			parsed, err := time.Parse(time.RFC3339, *firstSent)
			if err != nil {
				return errors.Wrap(errUsage, "-first-sent is not a time in RFC 3339 format")
			}
			firstSentTime = parsed
		}
		request.FirstSentUnixMs = firstSentTime.UnixMilli()
		data, err := readBody(*body)
		if err != nil {
			return err
		}
		request.Body = data
		response, err := call(ctx, server, server.callerClient().Call, request)
		if err != nil {
			return err
		}
		return printMessage(console, response)
	}
}

func setupStatus(flags *flag.FlagSet) func(context.Context, console, []string) error {
	server := &server{}
	server.addFlags(flags)
	request := &callerv1.StatusRequest{}
	flags.StringVar(&request.JobId, "job", "", "job id")
	flags.StringVar(&request.RequestId, "request", "", "request id")
	return func(ctx context.Context, console console, _ []string) error {
		if (request.JobId == "") == (request.RequestId == "") {
			return errors.Wrap(errUsage, "exactly one of -job and -request is required")
		}
		response, err := call(ctx, server, server.callerClient().Status, request)
		if err != nil {
			return err
		}
		return printMessage(console, response)
	}
}

func setupCancel(flags *flag.FlagSet) func(context.Context, console, []string) error {
	server := &server{}
	server.addFlags(flags)
	request := &callerv1.CancelRequest{}
	flags.StringVar(&request.JobId, "job", "", "job id")
	return func(ctx context.Context, console console, _ []string) error {
		if request.JobId == "" {
			return errors.Wrap(errUsage, "-job is required")
		}
		response, err := call(ctx, server, server.callerClient().Cancel, request)
		if err != nil {
			return err
		}
		return printMessage(console, response)
	}
}
