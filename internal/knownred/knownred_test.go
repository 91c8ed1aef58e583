package knownred

import "testing"

// TestList guards against a list that skips nothing because an entry is malformed.
func TestList(t *testing.T) {
	if _, err := Load(); err != nil {
		t.Fatal(err)
	}
}

// TestParse guards against entries without a finding and against misspelt names.
func TestParse(t *testing.T) {
	const whole = "# comment\ntest: TestA/b\ncommand: go test\nseen: 3 of 2\nissue: fix it\n"
	cases := map[string]struct {
		text string
		want int
		fail bool
	}{
		"empty":         {"", 0, false},
		"whole":         {whole + "\n" + whole, 2, false},
		"unknown name":  {whole + "reason: none\n", 0, true},
		"missing field": {"test: TestA\ncommand: go test\nseen: x\n", 0, true},
		"no test":       {"command: go test\n", 0, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			entries, err := Parse(c.text)
			if (err != nil) != c.fail || len(entries) != c.want {
				t.Errorf("got %d entries, error %v", len(entries), err)
			}
		})
	}
}
