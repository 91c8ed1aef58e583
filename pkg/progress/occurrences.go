package progress

import (
	"encoding/json"
	"iter"
	"slices"
	"sort"

	"github.com/pkg/errors"

	"github.com/quetzalstall/quetzalstall/pkg/workload"
)

// Occurrence is the progress of the steps of one occurrence that has begun.
type Occurrence struct {
	// Number is the number of the occurrence in the job's schedule, from 0.
	Number int    `json:"number,omitempty"`
	Steps  []Step `json:"steps"`
}

// newOccurrence returns an occurrence whose tasks all wait.
func newOccurrence(job workload.Job, number int) Occurrence {
	steps := make([]Step, len(job.Steps))
	for i, step := range job.Steps {
		steps[i].untouched = step.Tasks
	}
	return Occurrence{Number: number, Steps: steps}
}

// Done reports whether every task of the occurrence is done.
func (occurrence Occurrence) Done() bool {
	for _, step := range occurrence.Steps {
		if !step.AllDone() {
			return false
		}
	}
	return true
}

// untouched reports whether no task of the occurrence has been placed yet.
func (occurrence Occurrence) untouched() bool {
	for _, step := range occurrence.Steps {
		if slices.ContainsFunc(step.Tasks, func(task Task) bool { return task != Task{} }) {
			return false
		}
	}
	return true
}

// Range is the numbers from First to Last, both included.
type Range struct {
	First int `json:"first"`
	Last  int `json:"last"`
}

// find returns the index of an occurrence in Occurrences, or the index at which it would be inserted and false.
func (record *Record) find(number int) (int, bool) {
	return slices.BinarySearchFunc(record.Occurrences, number, func(occurrence Occurrence, number int) int {
		return occurrence.Number - number
	})
}

// Occurrence returns an occurrence that has begun, or nil if it has not begun or was done and pruned.
func (record *Record) Occurrence(number int) *Occurrence {
	if at, ok := record.find(number); ok {
		return &record.Occurrences[at]
	}
	return nil
}

// begin returns an occurrence, which it adds if the occurrence has not begun.
func (record *Record) begin(job workload.Job, number int) *Occurrence {
	at, ok := record.find(number)
	if !ok {
		record.Occurrences = slices.Insert(record.Occurrences, at, newOccurrence(job, number))
	}
	return &record.Occurrences[at]
}

// pruned returns the index of the range in Completed that holds the number, or the index at which such a range would be
// inserted and false.
func (record *Record) pruned(number int) (int, bool) {
	at := sort.Search(len(record.Completed), func(i int) bool { return record.Completed[i].Last >= number })
	return at, at < len(record.Completed) && record.Completed[at].First <= number
}

// Prune removes a done occurrence from Occurrences, so that a job with many occurrences keeps a small record. An
// occurrence that is not done stays.
func (record *Record) Prune(number int) {
	at, ok := record.find(number)
	if !ok || !record.Occurrences[at].Done() {
		return
	}
	record.Occurrences = slices.Delete(record.Occurrences, at, at+1)
	i, known := record.pruned(number)
	if known {
		return
	}
	added := Range{First: number, Last: number}
	if i < len(record.Completed) && record.Completed[i].First == number+1 {
		added.Last = record.Completed[i].Last
		record.Completed = slices.Delete(record.Completed, i, i+1)
	}
	if i > 0 && record.Completed[i-1].Last == number-1 {
		record.Completed[i-1].Last = added.Last
		return
	}
	record.Completed = slices.Insert(record.Completed, i, added)
}

// Unfinished yields the numbers below limit of the occurrences that are not pruned, begun or not, in ascending order.
func (record *Record) Unfinished(limit int) iter.Seq[int] {
	return func(yield func(int) bool) {
		next := 0
		for _, completed := range append(slices.Clone(record.Completed), Range{First: limit, Last: limit}) {
			for ; next < min(completed.First, limit); next++ {
				if !yield(next) {
					return
				}
			}
			next = completed.Last + 1
		}
	}
}

// NotBegun returns how many of the occurrences below limit have not begun.
func (record *Record) NotBegun(limit int) int {
	begun := 0
	for _, completed := range record.Completed {
		begun += max(0, min(completed.Last+1, limit)-completed.First)
	}
	at, _ := record.find(limit)
	return limit - begun - at
}

// allDone reports whether every occurrence of the job is done.
func (record *Record) allDone(job workload.Job) bool {
	for _, occurrence := range record.Occurrences {
		if !occurrence.Done() {
			return false
		}
	}
	return record.NotBegun(job.Schedule.Occurrences()) == 0
}

// matchesSchedule reports whether the occurrences, begun and pruned, are of the schedule, each at most once.
func (record *Record) matchesSchedule(schedule workload.Schedule) bool {
	if schedule.Count == 0 {
		return len(record.Occurrences) == 1 && record.Occurrences[0].Number == 0 && len(record.Completed) == 0
	}
	next := 0
	for _, completed := range record.Completed {
		if completed.First < next || completed.Last < completed.First {
			return false
		}
		next = completed.Last + 2
	}
	if next-1 > schedule.Count {
		return false
	}
	next = 0
	for _, occurrence := range record.Occurrences {
		if _, pruned := record.pruned(occurrence.Number); pruned || occurrence.Number < next {
			return false
		}
		next = occurrence.Number + 1
	}
	return next <= schedule.Count
}

// UnmarshalJSON reads a record. Records of earlier versions have an entry for each occurrence, without its number.
func (record *Record) UnmarshalJSON(content []byte) error {
	type plain Record
	if err := json.Unmarshal(content, (*plain)(record)); err != nil {
		return err
	}
	unnumbered := len(record.Occurrences) > 1 && record.Occurrences[1].Number == 0
	if !unnumbered {
		return nil
	}
	for k := range record.Occurrences {
		record.Occurrences[k].Number = k
	}
	record.Occurrences = slices.DeleteFunc(record.Occurrences, Occurrence.untouched)
	return nil
}

// taskRow is the stored form of successive equal tasks.
type taskRow struct {
	Task
	// Times is the number of the tasks; 0 stands for one.
	Times int `json:"times,omitempty"`
}

// maxStoredTasks limits the tasks of one step in a document, far above what a job can have.
const maxStoredTasks = 1 << 17

// timesOf returns Times of a row for the given number of tasks.
func timesOf(tasks int) int {
	if tasks == 1 {
		return 0
	}
	return tasks
}

// MarshalJSON writes equal tasks in succession as one row, since most tasks of a large step wait or are done.
func (step Step) MarshalJSON() ([]byte, error) {
	rows := []taskRow{}
	if step.untouched > 0 {
		rows = append(rows, taskRow{Times: timesOf(step.untouched)})
	}
	for _, task := range step.Tasks {
		if last := len(rows) - 1; last >= 0 && rows[last].Task == task {
			rows[last].Times = max(rows[last].Times, 1) + 1
			continue
		}
		rows = append(rows, taskRow{Task: task})
	}
	return json.Marshal(struct {
		Tasks []taskRow `json:"tasks"`
	}{rows})
}

// UnmarshalJSON reads the form that MarshalJSON writes.
func (step *Step) UnmarshalJSON(content []byte) error {
	var stored struct {
		Tasks []taskRow `json:"tasks"`
	}
	if err := json.Unmarshal(content, &stored); err != nil {
		return err
	}
	*step = Step{Tasks: make([]Task, 0, len(stored.Tasks))}
	for _, row := range stored.Tasks {
		times := max(row.Times, 1)
		if row.Times < 0 || times > maxStoredTasks-len(step.Tasks) {
			return errors.Errorf("a step has more than %d tasks", maxStoredTasks)
		}
		if len(stored.Tasks) == 1 && row.Task == (Task{}) {
			*step = Step{untouched: times}
			return nil
		}
		step.Tasks = append(step.Tasks, slices.Repeat([]Task{row.Task}, times)...)
	}
	return nil
}
