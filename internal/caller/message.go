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

// form is what is known of a call's message before it is decoded.
type form struct {
	message func() proto.Message
	// bulk is the field that makes a message large.
	bulk string
}

var forms = map[string]form{
	callerv1connect.CallerServiceSubmitProcedure: {func() proto.Message { return &callerv1.SubmitRequest{} }, "input"},
	callerv1connect.CallerServiceStatusProcedure: {func() proto.Message { return &callerv1.StatusRequest{} }, "request_id"},
	callerv1connect.CallerServiceCancelProcedure: {func() proto.Message { return &callerv1.CancelRequest{} }, "job_id"},
	callerv1connect.CallerServiceCallProcedure:   {func() proto.Message { return &callerv1.CallRequest{} }, "body"},
}

// checkMessage reads the bounded message of a call and checks the form of JSON, so that the caller gets one error
// that names the field. Connect decodes the message again.
func (server *Server) checkMessage(writer http.ResponseWriter, request *http.Request) *fault.Error {
	known, ok := forms[request.URL.Path]
	if !ok || request.Method != http.MethodPost {
		return nil
	}
	// A caller that sends its message slowly must not keep one of the bounded places.
	deadline := http.NewResponseController(writer)
	_ = deadline.SetReadDeadline(time.Now().Add(readTimeout))
	data, err := io.ReadAll(http.MaxBytesReader(writer, request.Body, int64(server.MaxMessage)))
	_ = deadline.SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return fault.New(fault.TooLarge, "the message exceeds %d bytes", tooLarge.Limit).WithField(known.bulk)
	}
	if err != nil {
		return fault.New(fault.InvalidArgument, "the message ended early or took longer than %v", readTimeout)
	}
	request.Body = io.NopCloser(bytes.NewReader(data))
	kind, _, _ := mime.ParseMediaType(request.Header.Get("Content-Type"))
	if kind != "application/json" || request.Header.Get("Content-Encoding") != "" {
		return nil
	}
	return checkJSON(data, known.message())
}

func checkJSON(data []byte, into proto.Message) *fault.Error {
	err := protojson.Unmarshal(data, into)
	if err == nil {
		return nil
	}
	return problemOf(err)
}

var (
	unknownField = regexp.MustCompile(`unknown field "([^"]*)"`)
	repeatedWord = regexp.MustCompile(`duplicate field "([^"]*)"`)
	wrongValue   = regexp.MustCompile(`invalid value for (\S+) field (\S+): (.*)`)
	position     = regexp.MustCompile(`\(line (\d+:\d+)\)`)
)

// problemOf turns an error of protojson into one that names the field. Its texts vary in their spaces on purpose.
func problemOf(err error) *fault.Error {
	text := strings.TrimPrefix(strings.ReplaceAll(err.Error(), "\u00a0", " "), "proto: ")
	at := ""
	if found := position.FindStringSubmatch(text); found != nil {
		at = " at line " + found[1]
	}
	if found := unknownField.FindStringSubmatch(text); found != nil {
		return fault.New(fault.InvalidArgument, "unknown field%s", at).WithField(found[1])
	}
	if found := repeatedWord.FindStringSubmatch(text); found != nil {
		return fault.New(fault.InvalidArgument, "the field is given twice%s", at).WithField(found[1])
	}
	if found := wrongValue.FindStringSubmatch(text); found != nil {
		return fault.New(fault.InvalidArgument, "needs a value of type %s, not %s%s", found[1], found[3], at).WithField(found[2])
	}
	return fault.New(fault.InvalidArgument, "malformed JSON%s", at)
}
