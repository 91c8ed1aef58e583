package cli

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"connectrpc.com/connect"

	"github.com/quetzalstall/quetzalstall/pkg/api/operatorv1"
	"github.com/quetzalstall/quetzalstall/pkg/api/operatorv1/operatorv1connect"
)

// operatorStub answers the requests about evacuations.
type operatorStub struct {
	operatorv1connect.UnimplementedOperatorServiceHandler
	list *operatorv1.ListEvacuationsResponse
}

func (stub operatorStub) Evacuate(
	_ context.Context, request *connect.Request[operatorv1.EvacuateRequest],
) (*connect.Response[operatorv1.EvacuateResponse], error) {
	return connect.NewResponse(&operatorv1.EvacuateResponse{
		Revision: 7, SinceUnixMs: 1_000, AlreadyEvacuated: request.Msg.DataCentre == "ngara",
	}), nil
}

func (stub operatorStub) TakeBack(
	context.Context, *connect.Request[operatorv1.TakeBackRequest],
) (*connect.Response[operatorv1.TakeBackResponse], error) {
	return connect.NewResponse(&operatorv1.TakeBackResponse{Revision: 8, SinceUnixMs: 1_000}), nil
}

func (stub operatorStub) ListEvacuations(
	context.Context, *connect.Request[operatorv1.ListEvacuationsRequest],
) (*connect.Response[operatorv1.ListEvacuationsResponse], error) {
	return connect.NewResponse(stub.list), nil
}

// Guards against commands that report a request as accepted when it was refused or changed nothing, and against a list
// that hides jobs, reasons or problems.
func TestEvacuationCommands(t *testing.T) {
	full := &operatorv1.ListEvacuationsResponse{Revision: 7, Evacuations: []*operatorv1.Evacuation{{
		DataCentre: "ngara", SinceUnixMs: 1_000, Workers: 12, RunningJobs: 3, AcceleratorsInUse: 24,
		Jobs: []*operatorv1.EvacuatedJob{
			{Organisation: "org", JobId: "plan", Workers: 2, Accelerators: 16, Reason: "it saves no checkpoints"},
		},
		Problems: []string{"the work of domain r is not known"},
	}}}
	empty := &operatorv1.ListEvacuationsResponse{Revision: 6}
	tests := []struct {
		args []string
		list *operatorv1.ListEvacuationsResponse
		code int
		want []string
	}{
		{[]string{"evacuate", "gikomba"}, nil, exitOK, []string{"data centre gikomba is evacuated (revision 7)"}},
		{[]string{"evacuate", "ngara"}, nil, exitOK, []string{"already evacuated, since 1970-01-01 00:00:01 UTC"}},
		{[]string{"evacuate"}, nil, exitUsage, []string{"exactly one DATA_CENTRE is required"}},
		{[]string{"take-back", "ngara", "gikomba"}, nil, exitUsage, []string{"exactly one DATA_CENTRE is required"}},
		{[]string{"take-back", "ngara"}, nil, exitOK, []string{"ngara is taken back (revision 8)"}},
		{[]string{"evacuations"}, empty, exitOK, []string{"no data centre is evacuated"}},
		{[]string{"evacuations"}, full, exitOK, []string{
			"ngara: evacuated since 1970-01-01 00:00:01 UTC; 12 workers, 3 running jobs on 24 accelerators",
			"org/plan: 16 accelerators on 2 workers: it saves no checkpoints", "2 more jobs",
			"problem: the work of domain r is not known",
		}},
		{[]string{"evacuations", "-json"}, full, exitOK, []string{
			`"data_centre": "ngara"`, `"since": "1970-01-01T00:00:01Z"`, `"reason": "it saves no checkpoints"`,
		}},
		{[]string{"evacuations", "-json"}, empty, exitOK, []string{`"evacuations": []`}},
	}
	for _, test := range tests {
		mux := http.NewServeMux()
		mux.Handle(operatorv1connect.NewOperatorServiceHandler(operatorStub{list: test.list}))
		server := httptest.NewServer(mux)
		args := []string{test.args[0], "-server", strings.TrimPrefix(server.URL, "http://")}
		var out, errOut bytes.Buffer
		code := Main(context.Background(), append(args, test.args[1:]...), &out, &errOut)
		server.Close()
		if code != test.code {
			t.Errorf("%v: exit code %d, want %d; %s", test.args, code, test.code, errOut.String())
		}
		for _, want := range test.want {
			if !strings.Contains(out.String()+errOut.String(), want) {
				t.Errorf("%v: output %q does not contain %q", test.args, out.String()+errOut.String(), want)
			}
		}
	}
}
