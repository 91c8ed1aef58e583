package node

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"strings"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"github.com/quetzalstall/quetzalstall/pkg/api/operatorv1"
	"github.com/quetzalstall/quetzalstall/pkg/fault"
	"github.com/quetzalstall/quetzalstall/pkg/fleet"
	"github.com/quetzalstall/quetzalstall/pkg/profile"
)

const (
	// errorKindHeader carries the error kind of a refusal.
	errorKindHeader = "Error-Kind"
	// maxOperatorMessage bounds one message of an operator; base64 and escapes make a document longer.
	maxOperatorMessage = 4 * profile.MaxDocumentBytes
)

// operators serves the operators' API.
type operators struct {
	node *Node
}

// Apply puts an organisation's document into force.
func (operators operators) Apply(ctx context.Context, request *connect.Request[operatorv1.ApplyRequest]) (*connect.Response[operatorv1.ApplyResponse], error) {
	response, err := operators.node.config.Apply(ctx, request.Msg)
	return answer(response, err)
}

// Preview tells what an edit would change, which running work it would affect, and why it would be refused.
func (operators operators) Preview(ctx context.Context, request *connect.Request[operatorv1.ApplyRequest]) (*connect.Response[operatorv1.PreviewResponse], error) {
	response, err := operators.node.config.Preview(ctx, request.Msg)
	return answer(response, err)
}

// Show returns the configuration in force at this process; revision 0 stands for none.
func (operators operators) Show(_ context.Context, request *connect.Request[operatorv1.ShowRequest]) (*connect.Response[operatorv1.ShowResponse], error) {
	config := operators.node.config.Current()
	if config == nil {
		config = &profile.Config{}
	}
	shown := profile.Config{Revision: config.Revision, Organisations: config.Organisations}
	if wanted := fleet.OrganisationID(request.Msg.Organisation); wanted != "" {
		shown.Organisations = map[fleet.OrganisationID]*profile.Organisation{}
		if organisation, ok := config.Organisations[wanted]; ok {
			shown.Organisations[wanted] = organisation
		}
	}
	text, err := json.Marshal(shown)
	if err != nil {
		return answer[operatorv1.ShowResponse](nil, errors.Wrap(err, "write configuration"))
	}
	return answer(&operatorv1.ShowResponse{Revision: int64(config.Revision), ConfigJson: string(text)}, nil)
}

// Dump returns the state of this process.
func (operators operators) Dump(context.Context, *connect.Request[operatorv1.DumpRequest]) (*connect.Response[operatorv1.DumpResponse], error) {
	text, err := json.Marshal(operators.node.Dump())
	if err != nil {
		return answer[operatorv1.DumpResponse](nil, errors.Wrap(err, "write dump"))
	}
	return answer(&operatorv1.DumpResponse{StateJson: string(text)}, nil)
}

// Explain tells in a few lines why a job or an organisation is where it is.
func (operators operators) Explain(ctx context.Context, request *connect.Request[operatorv1.ExplainRequest]) (*connect.Response[operatorv1.ExplainResponse], error) {
	if request.Msg.Organisation == "" {
		return answer[operatorv1.ExplainResponse](nil, fault.New(fault.InvalidArgument, "is missing").WithField("organisation"))
	}
	lines, err := operators.node.explain(ctx, fleet.OrganisationID(request.Msg.Organisation), fleet.JobID(request.Msg.JobId))
	return answer(&operatorv1.ExplainResponse{Lines: lines}, err)
}

// answer wraps a message, or turns an error into the answer of its kind.
func answer[Message any](message *Message, err error) (*connect.Response[Message], error) {
	if err == nil {
		return connect.NewResponse(message), nil
	}
	problem := fault.FromError(err)
	wrapped := connect.NewError(fault.AnswerFor(problem.Kind).Code, errors.New(problem.Message()))
	wrapped.Meta().Set(errorKindHeader, string(problem.Kind))
	return nil, wrapped
}

// requireToken refuses requests without the operators' bearer token; an empty hash lets everything pass.
func requireToken(hash string, next http.Handler) http.Handler {
	if hash == "" {
		return next
	}
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		token := strings.TrimPrefix(request.Header.Get("Authorization"), "Bearer ")
		sum := sha256.Sum256([]byte(token))
		if subtle.ConstantTimeCompare([]byte(hex.EncodeToString(sum[:])), []byte(hash)) != 1 {
			writer.Header().Set(errorKindHeader, string(fault.Unauthenticated))
			http.Error(writer, "the operators' token is missing or wrong", http.StatusUnauthorized)
			return
		}
		next.ServeHTTP(writer, request)
	})
}

// operatorOptions bounds the messages of operators.
func operatorOptions() []connect.HandlerOption {
	return []connect.HandlerOption{connect.WithReadMaxBytes(maxOperatorMessage)}
}
