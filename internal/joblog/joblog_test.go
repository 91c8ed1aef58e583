package joblog

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// logLine returns a log line whose timestamp is a number of milliseconds after 2026-01-01 00:00 UTC, the time 0 of the
// tests.
func logLine(after int, message, fields string) string {
	at := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC).Add(time.Duration(after) * time.Millisecond)
	return fmt.Sprintf(`{"@message":%q,"@timestamp":%q,%s}`, message, at.Format(time.RFC3339Nano), fields)
}

func readLines(t *testing.T, text string) []Line {
	t.Helper()
	lines, err := Read(strings.NewReader(text))
	if err != nil {
		t.Fatal(err)
	}
	return lines
}

// TestRead guards against lines that are skipped because of a prefix, and against lines that are returned although they
// are not about a job.
func TestRead(t *testing.T) {
	tests := []struct {
		name, text, job string
	}{
		{"job", logLine(0, "job taken", `"job":"a"`), "a"},
		{"task", logLine(0, "run ended", `"task":"a.0.1.2"`), "a"},
		{"prefix", "  1.5 vm1 " + logLine(0, "job taken", `"job":"a"`), "a"},
		{"no job", logLine(0, "term taken", `"token":1`), ""},
		{"malformed", `{"@message":"job taken"`, ""},
		{"plain text", "panic", ""},
		{"empty", "", ""},
	}
	for _, test := range tests {
		lines := readLines(t, test.text+"\n")
		if test.job == "" && len(lines) == 0 {
			continue
		}
		if len(lines) != 1 || string(lines[0].Job) != test.job {
			t.Errorf("%s: read %v, want one line of job %q", test.name, lines, test.job)
		}
	}
}

// TestTimeline guards against time of a job that is counted twice, not at all, or in the wrong phase. This can come
// about because tasks of a job may be in different phases at the same time, and because several controllers may log
// lines about one job.
func TestTimeline(t *testing.T) {
	taken := logLine(100, "job taken", `"job":"a","profile":"p","waited_ms":100`)
	end := func(after int) string { return logLine(after, "job state stored", `"job":"a","state":"completed"`) }
	tests := []struct {
		name   string
		lines  []string
		phases [phaseCount]int
		runs   map[string]int
	}{
		{
			"plain",
			[]string{
				taken, logLine(300, "unit placed", `"job":"a","waited_ms":250,"priority":1`),
				logLine(1300, "run ended", `"task":"a.0.0.0","how":"done","ran_ms":1000`), end(1400),
			},
			[phaseCount]int{Submitted: 100, Waiting: 200, Running: 1000, Between: 100}, map[string]int{"done": 1000},
		},
		{
			"claim",
			[]string{
				taken, logLine(400, "room claimed", `"job":"a","step":0`),
				logLine(900, "unit placed", `"job":"a","waited_ms":800,"step":0`),
				logLine(1900, "run ended", `"task":"a.0.0.0","how":"done","ran_ms":1000`), end(1900),
			},
			[phaseCount]int{Submitted: 100, Waiting: 300, Claiming: 500, Running: 1000}, map[string]int{"done": 1000},
		},
		{
			"taken again by another controller while it waits for capacity",
			[]string{
				taken, logLine(600, "job taken", `"job":"a","profile":"p","waited_ms":600`),
				logLine(900, "unit placed", `"job":"a","waited_ms":900`), end(1000),
			},
			[phaseCount]int{Submitted: 100, Waiting: 800, Between: 100}, nil,
		},
		{
			"preempted while another run continues",
			[]string{
				taken, logLine(100, "unit placed", `"job":"a","waited_ms":0`),
				logLine(500, "run to stop", `"task":"a.0.0.0","cause":"displaced"`),
				logLine(600, "run ended", `"task":"a.0.0.0","how":"stopped","ran_ms":500`),
				logLine(800, "unit placed", `"job":"a","waited_ms":200`),
				logLine(1100, "run ended", `"task":"a.0.0.1","how":"done","ran_ms":1000`),
				logLine(1800, "run ended", `"task":"a.0.0.0","how":"done","ran_ms":1000`), end(1800),
			},
			[phaseCount]int{Submitted: 100, Waiting: 200, Repeating: 500, Running: 1000},
			map[string]int{"done": 2000, "displaced": 500},
		},
		{
			"a run that never began, then one that did",
			[]string{
				taken, logLine(100, "unit placed", `"job":"a","waited_ms":0`),
				logLine(600, "run ended", `"task":"a.0.0.0","how":"lost","ran_ms":500,"begun":false`),
				logLine(700, "unit placed", `"job":"a","waited_ms":100`),
				logLine(1700, "run ended", `"task":"a.0.0.0","how":"done","ran_ms":1000,"begun":true`), end(1700),
			},
			[phaseCount]int{Submitted: 100, Waiting: 600, Running: 1000}, map[string]int{"done": 1000},
		},
		{
			"a lost run that began",
			[]string{
				taken, logLine(100, "unit placed", `"job":"a","waited_ms":0`),
				logLine(600, "run ended", `"task":"a.0.0.0","how":"lost","ran_ms":500,"begun":true`), end(700),
			},
			[phaseCount]int{Submitted: 100, Repeating: 500, Between: 100}, map[string]int{"lost": 500},
		},
		{
			"failed runs are summed by outcome",
			[]string{
				taken, logLine(100, "unit placed", `"job":"a","waited_ms":0`),
				logLine(600, "run ended", `"task":"a.0.0.0","how":"failed","ran_ms":500`), end(700),
			},
			[phaseCount]int{Submitted: 100, Repeating: 500, Between: 100}, map[string]int{"failed": 500},
		},
	}
	for _, test := range tests {
		lines := ByJob(readLines(t, strings.Join(test.lines, "\n")))["a"]
		timeline, ok := NewTimeline(lines)
		if !ok {
			t.Errorf("%s: no timeline", test.name)
			continue
		}
		total := time.Duration(0)
		for phase, want := range test.phases {
			total += timeline.Phases[phase]
			if got := timeline.Phases[phase].Milliseconds(); got != int64(want) {
				t.Errorf("%s: %d ms %s, want %d", test.name, got, Phase(phase), want)
			}
		}
		if age := timeline.Ended.Sub(timeline.Submitted); total != age {
			t.Errorf("%s: the phases sum up to %s, want the age %s", test.name, total, age)
		}
		for result, want := range test.runs {
			if got := timeline.Runs[result].Milliseconds(); got != int64(want) || len(timeline.Runs) != len(test.runs) {
				t.Errorf("%s: %d ms of runs %s, want %d of %v", test.name, got, result, want, timeline.Runs)
			}
		}
	}
}

// TestSummary guards against wrong times because the logs of several daemons are not merged by time, and against sums
// that include jobs without a stored state.
func TestSummary(t *testing.T) {
	first := logLine(2000, "job state stored", `"job":"a","state":"completed"`) + "\n" +
		logLine(100, "job taken", `"job":"b","profile":"p","waited_ms":0`)
	second := logLine(1000, "job taken", `"job":"a","profile":"p","waited_ms":500`)
	summary := Summarize(append(readLines(t, first), readLines(t, second)...))
	if len(summary.Classes) != 1 {
		t.Fatalf("summary has %d classes, want 1", len(summary.Classes))
	}
	totals := summary.Classes[0]
	if totals.Priority != unplaced {
		t.Errorf("a job that was never placed has priority %d", totals.Priority)
	}
	if totals.Jobs != 1 || totals.Age != 1500*time.Millisecond || totals.Phases[Submitted] != 500*time.Millisecond {
		t.Errorf("summary is %+v", totals)
	}
	var text strings.Builder
	if err := summary.Write(&text); err != nil || !strings.Contains(text.String(), "1.5s") {
		t.Errorf("table is %q, %v", text.String(), err)
	}
}
