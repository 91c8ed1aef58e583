package caller

import (
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/quetzalstall/quetzalstall/pkg/api/callerv1"
	"github.com/quetzalstall/quetzalstall/pkg/fault"
)

// Guards against JSON responses in camel case, which is the default of protojson, and against unknown fields that are
// accepted. All JSON formats of this project use snake case.
func TestJSONUsesProtocolNames(t *testing.T) {
	text, err := jsonCodec{}.Marshal(&callerv1.SubmitResponse{JobId: "j"})
	if err != nil || !strings.Contains(string(text), `"job_id"`) {
		t.Errorf("got %s, %v", text, err)
	}
	if err := (jsonCodec{}).Unmarshal([]byte(`{"job":"j"}`), &callerv1.SubmitRequest{}); err == nil {
		t.Error("an unknown field was accepted")
	}
}

// Guards against a refusal with two Error-Kind headers: the server sets one, and connect's error writer adds the
// metadata of the error to the headers.
func TestRefusalHasOneKindHeader(t *testing.T) {
	server := &Server{}
	server.init()
	server.Configs = fixedConfigs{}
	for _, content := range []string{"application/json", "text/plain"} {
		recorder := httptest.NewRecorder()
		request := httptest.NewRequest("POST", "/caller.v1.CallerService/Submit", nil)
		request.Header.Set("Content-Type", content)
		server.refuse(recorder, request, "", fault.New(fault.Starting, "no configuration"))
		if kinds := recorder.Result().Header[errorKindHeader]; len(kinds) != 1 {
			t.Errorf("%s: kinds %v, want one", content, kinds)
		}
	}
}
