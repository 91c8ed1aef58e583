// Package joblog reads the decision logs of daemons and tells what became of jobs and where their time went.
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

// maxLine bounds one log line in bytes; longer ones are an error.
const maxLine = 1 << 20

// Line is one decision that names a job.
type Line struct {
	At      time.Time
	Job     fleet.JobID
	Message string
	// Text is the whole line as it was written, without what stands before the JSON object.
	Text string

	fields fields
}

// fields are the inputs and outcomes that the timeline needs. A line has those that its message calls for.
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
}

// milliseconds is a duration as the logs write it.
type milliseconds int64

func (ms milliseconds) duration() time.Duration { return time.Duration(ms) * time.Millisecond }

// Read returns the lines of a log that name a job, in the order in which they were written. Lines may carry a prefix
// before their JSON object; others than JSON are left out.
func Read(input io.Reader) ([]Line, error) {
	var lines []Line
	scanner := bufio.NewScanner(input)
	scanner.Buffer(nil, maxLine)
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
