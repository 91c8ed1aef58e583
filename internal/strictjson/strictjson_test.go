package strictjson

import (
	"strings"
	"testing"
	"time"
)

type inner struct {
	Count int    `json:"count"`
	Name  string `json:"name"`
}

type outer struct {
	Inner inner            `json:"inner"`
	List  []inner          `json:"list"`
	Map   map[string]inner `json:"map"`
	At    time.Time        `json:"at"`
	Maybe *inner           `json:"maybe"`
}

// Guards against a problem in a document that is not reported or is reported with a wrong path, and against a decoder
// that stops at a problem and misses later ones.
func TestDecodeReportsEveryProblem(t *testing.T) {
	tests := []struct {
		name, document string
		want           []string
	}{
		{"valid", `{"inner":{"count":1},"list":[{"name":"a"}],"map":{"k":{"count":2}},"maybe":null}`, nil},
		{"malformed", `{"inner":`, []string{"malformed JSON: unexpected end of the document"}},
		{"trailing text", `{} {}`, []string{"malformed JSON: unexpected text after the end of the document"}},
		{"unknown field", `{"inner":{"cuont":1}}`, []string{
			"inner.cuont: unknown field; known fields are count, name",
		}},
		{"repeated field", `{"inner":{"count":1,"count":2}}`, []string{"inner.count: field is repeated"}},
		{"two problems", `{"list":[{"count":"x"},{"name":5}]}`, []string{
			"list[0].count: needs a value of type int", "list[1].name: needs a value of type string",
		}},
		{"wrong kinds", `{"inner":[],"list":{},"map":3,"at":7}`, []string{
			"inner: needs an object, not an array", "list: needs an array, not an object",
			"map: needs an object, not a number", "at: needs a string",
		}},
		{"fraction for an integer", `{"inner":{"count":1.5}}`, []string{
			"inner.count: needs a value of type int, not 1.5",
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var value outer
			problems := Decode([]byte(test.document), &value)
			if len(problems) != len(test.want) {
				t.Fatalf("got %d problems %v, want %d", len(problems), problems, len(test.want))
			}
			for i, want := range test.want {
				if !strings.HasPrefix(problems[i].String(), want) {
					t.Errorf("problem %d is %q, want prefix %q", i, problems[i], want)
				}
			}
		})
	}
}
