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
	// errorKindHeader is the response header with the kind of an error.
	errorKindHeader = "Error-Kind"
	// maxOperatorMessage limits a request message in bytes. It is larger than the largest document, since base64 and
	// escapes lengthen a document.
	maxOperatorMessage = 4 * profile.MaxDocumentBytes
)

// operatorService implements the operators' API.
type operatorService struct {
	node *Node
}

// Apply puts an organisation's document into force.
func (service operatorService) Apply(
	ctx context.Context, request *connect.Request[operatorv1.ApplyRequest],
) (*connect.Response[operatorv1.ApplyResponse], error) {
	response, err := service.node.config.Apply(ctx, request.Msg)
	return respond(response, err)
}

// Preview returns the changes that an edit would make, the preemptions that the edit may cause, and the reasons for
// which the edit would be refused.
func (service operatorService) Preview(
	ctx context.Context, request *connect.Request[operatorv1.ApplyRequest],
) (*connect.Response[operatorv1.PreviewResponse], error) {
	response, err := service.node.config.Preview(ctx, request.Msg)
	return respond(response, err)
}

// Show returns the configuration in force at this process; revision 0 means that there is none.
func (service operatorService) Show(
	_ context.Context, request *connect.Request[operatorv1.ShowRequest],
) (*connect.Response[operatorv1.ShowResponse], error) {
	config := service.node.config.Current()
	if config == nil {
		config = &profile.Config{}
	}
	filtered := profile.Config{
		Revision: config.Revision, Organisations: config.Organisations, Evacuations: config.Evacuations,
	}
	if selected := fleet.OrganisationID(request.Msg.Organisation); selected != "" {
		filtered.Organisations = map[fleet.OrganisationID]*profile.Organisation{}
		if organisation, ok := config.Organisations[selected]; ok {
			filtered.Organisations[selected] = organisation
		}
	}
	text, err := json.Marshal(filtered)
	if err != nil {
		return respond[operatorv1.ShowResponse](nil, errors.Wrap(err, "encode configuration"))
	}
	return respond(&operatorv1.ShowResponse{Revision: int64(config.Revision), ConfigJson: string(text)}, nil)
}

// Dump returns a snapshot of the state of this process.
func (service operatorService) Dump(
	context.Context, *connect.Request[operatorv1.DumpRequest],
) (*connect.Response[operatorv1.DumpResponse], error) {
	text, err := json.Marshal(service.node.Dump())
	if err != nil {
		return respond[operatorv1.DumpResponse](nil, errors.Wrap(err, "encode dump"))
	}
	return respond(&operatorv1.DumpResponse{StateJson: string(text)}, nil)
}

// Explain returns a few lines with the state of a job or an organisation and the reasons for it.
func (service operatorService) Explain(
	ctx context.Context, request *connect.Request[operatorv1.ExplainRequest],
) (*connect.Response[operatorv1.ExplainResponse], error) {
	if request.Msg.Organisation == "" {
		return respond[operatorv1.ExplainResponse](
			nil, fault.New(fault.InvalidArgument, "is missing").WithField("organisation"),
		)
	}
	lines, err := service.node.explain(
		ctx, fleet.OrganisationID(request.Msg.Organisation), fleet.JobID(request.Msg.JobId))
	return respond(&operatorv1.ExplainResponse{Lines: lines}, err)
}

// Evacuate stores the request that nothing more is started on the workers of a data centre.
func (service operatorService) Evacuate(
	ctx context.Context, request *connect.Request[operatorv1.EvacuateRequest],
) (*connect.Response[operatorv1.EvacuateResponse], error) {
	response, err := service.node.config.Evacuate(ctx, request.Msg)
	return respond(response, err)
}

// TakeBack ends the evacuation of a data centre.
func (service operatorService) TakeBack(
	ctx context.Context, request *connect.Request[operatorv1.TakeBackRequest],
) (*connect.Response[operatorv1.TakeBackResponse], error) {
	response, err := service.node.config.TakeBack(ctx, request.Msg)
	return respond(response, err)
}

// ListEvacuations returns the evacuated data centres and the work that still runs there.
func (service operatorService) ListEvacuations(
	ctx context.Context, _ *connect.Request[operatorv1.ListEvacuationsRequest],
) (*connect.Response[operatorv1.ListEvacuationsResponse], error) {
	return respond(service.node.jobs.ListEvacuations(ctx), nil)
}

// respond returns message in a response if err is nil. Otherwise it returns a Connect error whose code follows from the
// kind of err and whose header Error-Kind contains the kind.
func respond[Message any](message *Message, err error) (*connect.Response[Message], error) {
	if err == nil {
		return connect.NewResponse(message), nil
	}
	failure := fault.FromError(err)
	response := connect.NewError(fault.AnswerFor(failure.Kind).Code, errors.New(failure.Message()))
	response.Meta().Set(errorKindHeader, string(failure.Kind))
	return nil, response
}

// requireToken rejects requests without the bearer token that has the given hash. With an empty hash it accepts all
// requests.
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

// operatorOptions returns handler options that limit the size of request messages.
func operatorOptions() []connect.HandlerOption {
	return []connect.HandlerOption{connect.WithReadMaxBytes(maxOperatorMessage)}
}
