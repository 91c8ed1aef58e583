package caller

import (
	"bytes"
	"io"
	"mime"
	"net/http"
	"regexp"
	"strings"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"github.com/quetzalstall/quetzalstall/pkg/api/callerv1"
	"github.com/quetzalstall/quetzalstall/pkg/api/callerv1/callerv1connect"
	"github.com/quetzalstall/quetzalstall/pkg/fault"
)

const readTimeout = 10 * time.Second

// messageSpec describes the request message of one procedure of the callers' API for checkMessage.
type messageSpec struct {
	newMessage func() proto.Message
	// largeField is the field that the error names if the message is too large.
	largeField string
}

var messageSpecs = map[string]messageSpec{
	callerv1connect.CallerServiceSubmitProcedure: {func() proto.Message { return &callerv1.SubmitRequest{} }, "input"},
	callerv1connect.CallerServiceStatusProcedure: {
		func() proto.Message { return &callerv1.StatusRequest{} }, "request_id",
	},
	callerv1connect.CallerServiceCancelProcedure: {func() proto.Message { return &callerv1.CancelRequest{} }, "job_id"},
	callerv1connect.CallerServiceCallProcedure:   {func() proto.Message { return &callerv1.CallRequest{} }, "body"},
}

// checkMessage reads the message of a call up to the size limit. It decodes a JSON message once before connect does,
// so that the caller gets one error that names the field; connect decodes the message again.
func (server *Server) checkMessage(writer http.ResponseWriter, request *http.Request) *fault.Error {
	known, ok := messageSpecs[request.URL.Path]
	if !ok || request.Method != http.MethodPost {
		return nil
	}
	// At most MaxConcurrent calls are served at the same time. A caller that sends its message slowly must not occupy
	// one of them for longer than readTimeout.
	deadline := http.NewResponseController(writer)
	_ = deadline.SetReadDeadline(time.Now().Add(readTimeout))
	data, err := io.ReadAll(http.MaxBytesReader(writer, request.Body, int64(server.MaxMessage)))
	_ = deadline.SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return fault.New(fault.TooLarge, "the message exceeds %d bytes", tooLarge.Limit).WithField(known.largeField)
	}
	if err != nil {
		return fault.New(fault.InvalidArgument, "the message ended early or took longer than %v to arrive", readTimeout)
	}
	request.Body = io.NopCloser(bytes.NewReader(data))
	kind, _, _ := mime.ParseMediaType(request.Header.Get("Content-Type"))
	if kind != "application/json" || request.Header.Get("Content-Encoding") != "" {
		return nil
	}
	return checkJSON(data, known.newMessage())
}

func checkJSON(data []byte, into proto.Message) *fault.Error {
	err := protojson.Unmarshal(data, into)
	if err == nil {
		return nil
	}
	return faultOfJSONError(err)
}

var (
	unknownField   = regexp.MustCompile(`unknown field "([^"]*)"`)
	duplicateField = regexp.MustCompile(`duplicate field "([^"]*)"`)
	wrongValue     = regexp.MustCompile(`invalid value for (\S+) field (\S+): (.*)`)
	position       = regexp.MustCompile(`\(line (\d+:\d+)\)`)
)

// faultOfJSONError converts an error of protojson to a fault that names the field. protojson randomly uses either a
// space or a non-breaking space in its error texts, to discourage programs from matching them; both are accepted here.
func faultOfJSONError(err error) *fault.Error {
	text := strings.TrimPrefix(strings.ReplaceAll(err.Error(), "\u00a0", " "), "proto: ")
	at := ""
	if found := position.FindStringSubmatch(text); found != nil {
		at = " at line " + found[1]
	}
	if found := unknownField.FindStringSubmatch(text); found != nil {
		return fault.New(fault.InvalidArgument, "unknown field%s", at).WithField(found[1])
	}
	if found := duplicateField.FindStringSubmatch(text); found != nil {
		return fault.New(fault.InvalidArgument, "the field is given twice%s", at).WithField(found[1])
	}
	if found := wrongValue.FindStringSubmatch(text); found != nil {
		return fault.New(fault.InvalidArgument, "needs a value of type %s, not %s%s", found[1], found[3], at).
			WithField(found[2])
	}
	return fault.New(fault.InvalidArgument, "malformed JSON%s", at)
}
