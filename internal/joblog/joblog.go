// Package joblog reads the logs of daemons and derives from the logged scheduling decisions the final state of each job
// and the time that the job spent in each phase.
package joblog

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/quetzalstall/quetzalstall/pkg/fleet"
	"github.com/quetzalstall/quetzalstall/pkg/progress"
)

// maxLineBytes limits the length of a log line; a longer line is an error.
const maxLineBytes = 1 << 20

// Line is a log line about one job.
type Line struct {
	At      time.Time
	Job     fleet.JobID
	Message string
	// Text is the line as it was written, without the prefix before its JSON object.
	Text string

	fields fields
}

// fields holds the fields of a log line that a timeline needs. Which fields are set depends on the message.
type fields struct {
	Message  string              `json:"@message"`
	At       time.Time           `json:"@timestamp"`
	Job      fleet.JobID         `json:"job"`
	Task     string              `json:"task"`
	Call     string              `json:"call"`
	Outcome  string              `json:"outcome"`
	Profile  string              `json:"profile"`
	State    string              `json:"state"`
	How      progress.RunOutcome `json:"how"`
	Cause    string              `json:"cause"`
	Waited   milliseconds        `json:"waited_ms"`
	Ran      milliseconds        `json:"ran_ms"`
	Priority int                 `json:"priority"`
	Step     int                 `json:"step"`
	// Begun tells whether a worker is known to have begun a run; nil in the logs of earlier versions.
	Begun *bool `json:"begun"`
}

// milliseconds is a duration as it is written in logs.
type milliseconds int64

func (ms milliseconds) duration() time.Duration { return time.Duration(ms) * time.Millisecond }

// Read returns the lines of a log that are about a job, in the order in which they were written. A line may have a
// prefix before its JSON object. Lines without a valid JSON object are skipped.
func Read(input io.Reader) ([]Line, error) {
	var lines []Line
	scanner := bufio.NewScanner(input)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		text := scanner.Bytes()
		start := bytes.IndexByte(text, '{')
		if start < 0 {
			continue
		}
		line := Line{Text: string(text[start:])}
		if json.Unmarshal(text[start:], &line.fields) != nil {
			continue
		}
		line.At, line.Message, line.Job = line.fields.At, line.fields.Message, line.fields.Job
		if line.Job == "" {
			job, _, _ := strings.Cut(line.fields.Task, ".")
			line.Job = fleet.JobID(job)
		}
		if line.Job != "" {
			lines = append(lines, line)
		}
	}
	return lines, errors.Wrap(scanner.Err(), "read log")
}

// ByJob sorts the lines of several logs by time and groups them by job.
func ByJob(lines []Line) map[fleet.JobID][]Line {
	sorted := slices.Clone(lines)
	slices.SortStableFunc(sorted, func(a, b Line) int { return a.At.Compare(b.At) })
	jobs := map[fleet.JobID][]Line{}
	for _, line := range sorted {
		jobs[line.Job] = append(jobs[line.Job], line)
	}
	return jobs
}
