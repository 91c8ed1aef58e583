package progress

import "github.com/quetzalstall/quetzalstall/pkg/workload"

const (
	// maxCrashes is the number of workers in succession that may crash under a task before its job fails, if the crash of
	// one of them can have no other cause. Three leave room for one crash of a worker by itself.
	maxCrashes = 3
	// maxUnclearCrashes is this number if each crash can have another cause.
	maxUnclearCrashes = 5
)

// Crashes counts the workers in succession that crashed under a task, that is, soon after the task had started there.
type Crashes struct {
	Count int `json:"count,omitempty"`
	// Lone counts the crashes for which no other job can be to blame.
	Lone int `json:"lone,omitempty"`
	// Run is the number of the latest run that was counted. A run of a gang counts once when several workers crash.
	Run RunNumber `json:"run,omitempty"`
}

// Suspected reports whether the task may crash the next worker too.
func (crashes Crashes) Suspected() bool { return crashes.Count > 0 }

// exhausted reports whether the task must not start again.
func (crashes Crashes) exhausted() bool {
	return crashes.Count >= maxUnclearCrashes || crashes.Count >= maxCrashes && crashes.Lone > 0
}

// crashes returns the count of a task. The crashes of a gang are counted in its member 0.
func (record *Record) crashes(step workload.Step, id workload.TaskID) *Crashes {
	tasks := record.Occurrences[id.Occurrence].Steps[id.Step].Tasks
	if step.Gang {
		return &tasks[0].Crashes
	}
	return &tasks[id.Index].Crashes
}

// Crashes returns the crashes under the unit of a task.
func (record *Record) Crashes(job workload.Job, id workload.TaskID) Crashes {
	return *record.crashes(job.Steps[id.Step], id)
}

// CountCrash counts that a worker crashed under a run, before the end of the run is recorded. lone is set if no other job
// can be to blame. The job fails when the task has crashed as many workers as it may. CountCrash reports whether the
// record changed.
func (record *Record) CountCrash(job workload.Job, id workload.TaskID, run RunNumber, lone bool) bool {
	task := record.Task(id)
	if task == nil || task.Phase != Placed || task.Run != run {
		return false
	}
	crashes := record.crashes(job.Steps[id.Step], id)
	if run <= crashes.Run {
		return false
	}
	crashes.Run = run
	crashes.Count++
	if lone {
		crashes.Lone++
	}
	if crashes.exhausted() && !record.State.Terminal() {
		record.State = Failed
	}
	return true
}

// ClearCrashes forgets the crashes under a task, because a run of it has gone on working on a worker. It reports whether
// the record changed.
func (record *Record) ClearCrashes(job workload.Job, id workload.TaskID) bool {
	crashes := record.crashes(job.Steps[id.Step], id)
	if crashes.Count == 0 {
		return false
	}
	crashes.Count, crashes.Lone = 0, 0
	return true
}
