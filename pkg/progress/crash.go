package progress

import (
	"slices"
	"time"

	"github.com/quetzalstall/quetzalstall/pkg/workload"
)

const (
	// maxCrashes is the number of workers in succession that may crash under a task before its job fails, if the crash of
	// one of them can have no other cause. Three leave room for one crash of a worker by itself.
	maxCrashes = 3
	// maxUnclearCrashes is this number if each crash can have another cause.
	maxUnclearCrashes = 5
	// maxCrashesWithShared is the number of all crashes, shared ones included, if one of them can have no other cause. It
	// leaves room for one that was not counted, because workers crashed elsewhere at the same time.
	maxCrashesWithShared = 4
	// minKnownCrashes is how many of the counted crashes must be under runs that are known to have been on their workers.
	// The others are under runs that a former controller had decided to start: none of those may ever have existed.
	minKnownCrashes = 3
	// maxSharedCrashes is the number of shared crashes in succession from which on the task is suspected. Long runs often
	// share a crash that another task or the worker itself has caused.
	maxSharedCrashes = 3
	// workTolerance is the difference up to which two times of work count as the same, although the work of a task takes
	// somewhat longer on some workers.
	workTolerance = 250 * time.Millisecond
)

// Crash is the end of a worker under a run, as far as it is known who is to blame.
type Crash struct {
	// Lone is set if neither another job nor the worker itself can be to blame.
	Lone bool
	// Late is set if the worker crashed some time after the start of the run, so that all runs there may be to blame.
	Late bool
	// Lasting is set if the task lasts until its job is cancelled. Such a task is never given up.
	Lasting bool
	// Worked is how long the run had worked. It is not valid if StartUnknown is set, because a former controller started the
	// run.
	Worked       WorkTime
	StartUnknown bool
	// Decided is set if nothing is known of the run but that a former controller had decided to start it.
	Decided bool
}

// WorkTime is a time of work between two bounds. The time of a crash is known only as well as the worker was polled.
type WorkTime struct {
	AtLeast time.Duration `json:"at_least,omitempty"`
	AtMost  time.Duration `json:"at_most,omitempty"`
}

// common returns the part that two times share. It reports false if they are too far apart to be the same.
func (worked WorkTime) common(other WorkTime) (WorkTime, bool) {
	shared := WorkTime{AtLeast: max(worked.AtLeast, other.AtLeast), AtMost: min(worked.AtMost, other.AtMost)}
	if shared.AtLeast > shared.AtMost+workTolerance {
		return WorkTime{}, false
	}
	return WorkTime{AtLeast: min(shared.AtLeast, shared.AtMost), AtMost: max(shared.AtLeast, shared.AtMost)}, true
}

// Crashes counts the workers in succession that crashed under a task. Count, Lone and Shared are of those that crashed
// after the same time of work: a task that crashes its workers does so each time at about the same point, while a worker
// that crashes by itself does so at any point.
type Crashes struct {
	// Count is the number of crashes that came soon after a start of the task, or that nothing else can be to blame for.
	Count int `json:"count,omitempty"`
	// Lone counts the crashes for which nothing else can be to blame.
	Lone int `json:"lone,omitempty"`
	// Shared counts the later crashes for which other runs or the worker can be to blame. They are not in Count.
	Shared int `json:"shared,omitempty"`
	// Run is the number of the latest run that was counted, so that each run counts once.
	Run RunNumber `json:"run,omitempty"`
	// Worked is the time of work that the counted crashes share, if it is known for one of them.
	Worked WorkTime `json:"worked,omitzero"`
	// WorkedKnown is set if Worked is valid.
	WorkedKnown bool `json:"worked_known,omitempty"`
	// Succession counts all crashes in succession, at whatever point.
	Succession int `json:"succession,omitempty"`
	// Known counts those in Count and Shared whose runs are known to have been on their workers.
	Known int `json:"known,omitempty"`
	// Seen is the number of the latest run that a worker is known to have begun after a crash was counted, so that the next
	// controller need not take that run for a mere decision.
	Seen RunNumber `json:"seen,omitempty"`
}

// Suspected reports whether the task may crash the next worker too.
func (crashes Crashes) Suspected() bool {
	return crashes.Count > 0 || crashes.Succession >= maxSharedCrashes
}

// Repeated reports whether workers have crashed under the task more than once at the same point.
func (crashes Crashes) Repeated() bool { return crashes.Count+crashes.Shared > 1 }

// ClearAfter returns how much longer than the shortest time that proves anything a run has to work until the task is
// above suspicion: past the point of the crashes.
func (crashes Crashes) ClearAfter() time.Duration { return crashes.Worked.AtMost }

// add counts a crash. It starts the count anew if the crash came at another point than those before.
func (crashes *Crashes) add(crash Crash) {
	crashes.Succession++
	if !crash.StartUnknown {
		crashes.narrow(crash.Worked)
	}
	if !crash.Decided {
		crashes.Known++
	}
	if crash.Late && !crash.Lone {
		crashes.Shared++
		return
	}
	crashes.Count++
	if crash.Lone {
		crashes.Lone++
	}
}

// narrow narrows down the point at which workers crash under the task.
func (crashes *Crashes) narrow(worked WorkTime) {
	common, same := worked, true
	if crashes.WorkedKnown {
		common, same = crashes.Worked.common(worked)
	}
	if !same {
		*crashes = Crashes{Run: crashes.Run, Succession: crashes.Succession}
		common = worked
	}
	crashes.Worked, crashes.WorkedKnown = common, true
}

// Exhausted reports whether the task has crashed as many workers as it may. Shared crashes alone prove nothing, and neither
// do crashes of workers on which the task is not known to have been.
func (crashes Crashes) Exhausted() bool {
	if crashes.Known < minKnownCrashes {
		return false
	}
	if crashes.Lone > 0 && crashes.Count+crashes.Shared >= maxCrashesWithShared {
		return true
	}
	return crashes.Count >= maxUnclearCrashes || crashes.Count >= maxCrashes && crashes.Lone > 0
}

// Crashes returns the crashes under a task. Each member of a gang has a count of its own: the workers of a wide gang often
// crash by themselves, each time another one.
func (record *Record) Crashes(id workload.TaskID) Crashes {
	if task := record.Task(id); task != nil {
		return task.Crashes
	}
	return Crashes{}
}

// Suspected reports whether the unit of a task may crash the next worker too.
func (record *Record) Suspected(job workload.Job, id workload.TaskID) bool {
	if !job.Steps[id.Step].Gang {
		return record.Crashes(id).Suspected()
	}
	members := record.Tasks(id.Occurrence, id.Step)
	return slices.ContainsFunc(members, func(member Task) bool { return member.Crashes.Suspected() })
}

// CountCrash counts that a worker crashed under a run, before the end of the run is recorded. The job fails when the
// task has crashed as many workers as it may. CountCrash reports whether the record changed.
func (record *Record) CountCrash(id workload.TaskID, run RunNumber, crash Crash) bool {
	task := record.Task(id)
	if task == nil || task.Phase != Placed || task.Run != run {
		return false
	}
	crashes := &task.Crashes
	if run <= crashes.Run {
		return false
	}
	crashes.Run = run
	crashes.add(crash)
	if crashes.Exhausted() && !crash.Lasting && !record.State.Terminal() {
		record.State = Failed
	}
	return true
}

// NoteSeen records that a worker is known to have begun a run of a task under which workers have crashed, and reports
// whether the record changed. Of other tasks it is not recorded, since each start would then be stored twice.
func (record *Record) NoteSeen(id workload.TaskID, run RunNumber) bool {
	task := record.Task(id)
	if task == nil || task.Phase != Placed || task.Run != run || task.Crashes.Succession == 0 || task.Crashes.Seen == run {
		return false
	}
	task.Crashes.Seen = run
	return true
}

// ClearCrashes forgets the crashes under a task, because a run of it has gone on working on a worker. It reports whether
// the record changed.
func (record *Record) ClearCrashes(id workload.TaskID) bool {
	task := record.Task(id)
	if task == nil || task.Crashes.Succession == 0 {
		return false
	}
	task.Crashes = Crashes{Run: task.Crashes.Run}
	return true
}
