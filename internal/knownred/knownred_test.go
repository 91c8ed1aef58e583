package knownred

import "testing"

// TestListIsWellFormed guards against a malformed entry in the list, with which every test that reads the list would
// fail.
func TestListIsWellFormed(t *testing.T) {
	if _, err := Load(); err != nil {
		t.Fatal(err)
	}
}

// TestParse guards against a parser that accepts entries with missing fields or misspelt field names.
func TestParse(t *testing.T) {
	const complete = "# comment\ntest: TestA/b\ncommand: go test\nseen: 3 of 2\nissue: fix it\n"
	cases := map[string]struct {
		text      string
		want      int
		wantError bool
	}{
		"empty":         {"", 0, false},
		"complete":      {complete + "\n" + complete, 2, false},
		"unknown field": {complete + "reason: none\n", 0, true},
		"missing field": {"test: TestA\ncommand: go test\nseen: x\n", 0, true},
		"no test":       {"command: go test\n", 0, true},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			entries, err := Parse(test.text)
			if (err != nil) != test.wantError || len(entries) != test.want {
				t.Errorf("got %d entries and error %v", len(entries), err)
			}
		})
	}
}
