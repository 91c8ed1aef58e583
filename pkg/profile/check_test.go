package profile

import (
	"encoding/json"
	"strings"
	"testing"
)

const validDocument = `{
  "organisation": "benches", "quota": 64, "max_waiting": 100,
  "guarantees": [{"count": 2, "shape": {"members": 1, "accelerators": 8, "cores": 16, "memory_bytes": 1024, "adjacency": "worker"}}],
  "profiles": [
    {"name": "plan", "shape": {"members": 2, "accelerators": 4, "cores": 8, "memory_bytes": 1024, "adjacency": "rack"},
     "urgency": "urgent", "idempotent": true, "checkpoint": true, "limits": {"max_waiting": 10, "max_body_bytes": 1024}},
    {"name": "tune", "service": "tuning-desk", "urgency": "normal", "idempotent": false,
     "limits": {"max_waiting": 10, "max_run_time": "5s", "max_body_bytes": 1024}}
  ]}`

// TestParseOrganisationRoundTrip guards against a document that changes when it is parsed and encoded again.
func TestParseOrganisationRoundTrip(t *testing.T) {
	first, err := ParseOrganisation([]byte(validDocument))
	if err != nil {
		t.Fatal(err)
	}
	text, err := json.Marshal(first)
	if err != nil {
		t.Fatal(err)
	}
	second, err := ParseOrganisation(text)
	if err != nil {
		t.Fatalf("the encoded document is refused: %v", err)
	}
	again, _ := json.Marshal(second)
	if string(text) != string(again) {
		t.Errorf("document changed:\n%s\n%s", text, again)
	}
}

// TestParseOrganisationRefusals guards against accepting an invalid document and against an error that names the wrong
// field. Each case makes one change to a valid document.
func TestParseOrganisationRefusals(t *testing.T) {
	tests := []struct{ name, old, new, path string }{
		{"unknown field", `"quota"`, `"qouta"`, "qouta"},
		{"missing queue limit", `"max_waiting": 100,`, ``, "max_waiting"},
		{"bad name", `"plan"`, `"Plan!"`, "profiles[0].name"},
		{"repeated name", `"tune"`, `"plan"`, "profiles[1].name"},
		{"unknown urgency", `"urgent"`, `"asap"`, "profiles[0].urgency"},
		{"unknown adjacency", `"rack"`, `"row"`, "profiles[0].shape.adjacency"},
		{"gang too large", `"members": 2, "accelerators": 4`, `"members": 100, "accelerators": 4`, "profiles[0].shape"},
		{"quota below guarantee", `"quota": 64`, `"quota": 10`, "quota"},
		{"duration without unit", `"5s"`, `"5"`, "profiles[1].limits.max_run_time"},
		{"request without run time limit", `"max_run_time": "5s",`, ``, "profiles[1].limits.max_run_time"},
		{"shape and service", `"service": "tuning-desk"`,
			`"service": "tuning-desk", "shape": {"members": 1, "accelerators": 1}`, "profiles[1]"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			document := strings.Replace(validDocument, test.old, test.new, 1)
			_, err := ParseOrganisation([]byte(document))
			if err == nil {
				t.Fatal("the document was accepted")
			}
			if !strings.Contains(err.Error(), test.path+":") {
				t.Errorf("error %q does not name %s", err, test.path)
			}
		})
	}
}
