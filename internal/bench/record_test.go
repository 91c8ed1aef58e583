package bench

import (
	"testing"
	"time"

	"github.com/quetzalstall/quetzalstall/pkg/fleet"
	"github.com/quetzalstall/quetzalstall/pkg/profile"
	"github.com/quetzalstall/quetzalstall/pkg/scheduler"
)

// recordCase is a sequence of decisions that violates the given rule, or none if the rule is empty.
type recordCase struct {
	rule string
	run  func(*record, func(fleet.ProfileName) scheduler.Job)
}

func placeOn(job scheduler.Job, attempt fleet.Attempt, resume bool, workers ...fleet.WorkerID) scheduler.Place {
	place := scheduler.Place{Job: job, Attempt: attempt, Resume: resume}
	for _, worker := range workers {
		place.Members = append(place.Members,
			scheduler.Member{Worker: worker, Accelerators: job.Profile.Shape.Accelerators})
	}
	return place
}

func end(job scheduler.Job, attempt fleet.Attempt, result scheduler.EndResult,
	failed ...fleet.WorkerID) scheduler.GangEnded {
	return scheduler.GangEnded{Key: job.Key, Attempt: attempt, Result: result, Failed: failed}
}

var recordCases = map[string]recordCase{
	"whole gang": {"", func(record *record, submit func(fleet.ProfileName) scheduler.Job) {
		job := submit(profileWide)
		record.place(placeOn(job, 1, false, "w00", "w04"))
		record.start(job.Key)
		record.end(end(job, 1, scheduler.EndCompleted))
		record.finish(scheduler.Finish{Key: job.Key, Verdict: scheduler.VerdictCompleted})
	}},
	"double grant": {RuleDoubleGrant, func(record *record, submit func(fleet.ProfileName) scheduler.Job) {
		record.place(placeOn(submit(profileWhole), 1, false, "w00"))
		record.place(placeOn(submit(profileSingle), 1, false, "w00"))
	}},
	"foreign lease": {RuleDoubleGrant, func(record *record, submit func(fleet.ProfileName) scheduler.Job) {
		record.workers["w00"].foreign = 1
		record.place(placeOn(submit(profileWhole), 1, false, "w00"))
	}},
	"member missing": {RulePartialGang, func(record *record, submit func(fleet.ProfileName) scheduler.Job) {
		record.place(placeOn(submit(profileWide), 1, false, "w00"))
	}},
	"two racks": {RulePartialGang, func(record *record, submit func(fleet.ProfileName) scheduler.Job) {
		record.place(placeOn(submit(profileWide), 1, false, "w00", "w01"))
	}},
	"lost worker": {RuleUnusableWorker, func(record *record, submit func(fleet.ProfileName) scheduler.Job) {
		record.workers["w00"].lossReported = true
		record.place(placeOn(submit(profileWhole), 1, false, "w00"))
	}},
	"started twice": {RuleAtMostOnce, func(record *record, submit func(fleet.ProfileName) scheduler.Job) {
		job := submit(profileOnce)
		record.place(placeOn(job, 1, false, "w00"))
		record.start(job.Key)
		record.end(end(job, 1, scheduler.EndStopped))
		record.place(placeOn(job, 2, false, "w00"))
	}},
	"resumed from a checkpoint": {"", func(record *record, submit func(fleet.ProfileName) scheduler.Job) {
		job := submit(profileOnceSaved)
		record.place(placeOn(job, 1, false, "w00"))
		record.start(job.Key)
		record.end(end(job, 1, scheduler.EndCheckpointed))
		record.place(placeOn(job, 2, true, "w00"))
	}},
	"checkpoint used twice": {RuleAtMostOnce, func(record *record, submit func(fleet.ProfileName) scheduler.Job) {
		job := submit(profileOnceSaved)
		record.place(placeOn(job, 1, false, "w00"))
		record.end(end(job, 1, scheduler.EndCheckpointed))
		record.place(placeOn(job, 2, true, "w00"))
		record.start(job.Key)
		record.end(end(job, 2, scheduler.EndLost, "w00"))
		record.place(placeOn(job, 3, true, "w00"))
	}},
	"not run after a start": {RuleVerdict, func(record *record, submit func(fleet.ProfileName) scheduler.Job) {
		job := submit(profileSingle)
		record.place(placeOn(job, 1, false, "w00"))
		record.start(job.Key)
		record.end(end(job, 1, scheduler.EndStopped))
		record.finish(scheduler.Finish{Key: job.Key, Verdict: scheduler.VerdictNotRun})
	}},
	"failed on one worker": {RuleVerdict, func(record *record, submit func(fleet.ProfileName) scheduler.Job) {
		job := submit(profileSingle)
		record.place(placeOn(job, 1, false, "w00"))
		record.end(end(job, 1, scheduler.EndFailed, "w00"))
		record.finish(scheduler.Finish{Key: job.Key, Verdict: scheduler.VerdictFailed})
	}},
	"ends while it runs": {RuleVerdict, func(record *record, submit func(fleet.ProfileName) scheduler.Job) {
		job := submit(profileSingle)
		record.place(placeOn(job, 1, false, "w00"))
		record.finish(scheduler.Finish{Key: job.Key, Verdict: scheduler.VerdictCompleted})
	}},
	"large quarantine": {RuleQuarantine, func(record *record, _ func(fleet.ProfileName) scheduler.Job) {
		for _, worker := range record.order[:6] {
			record.quarantine(scheduler.Quarantine{Worker: worker.worker.ID, Active: true})
		}
	}},
	"slow reclaim": {RuleGuarantee, func(record *record, submit func(fleet.ProfileName) scheduler.Job) {
		submit(profileUrgent)
		record.guarantees.check()
		record.now = record.now.Add(urgentStartLimit + time.Millisecond)
		record.guarantees.check()
	}},
	"reclaim in time": {"", func(record *record, submit func(fleet.ProfileName) scheduler.Job) {
		job := submit(profileUrgent)
		record.guarantees.check()
		record.now = record.now.Add(urgentStartLimit)
		record.place(placeOn(job, 1, false, "w00"))
		record.start(job.Key)
		record.guarantees.check()
		record.now = record.now.Add(time.Minute)
		record.guarantees.check()
	}},
	"unreclaimable": {RuleUnreclaimable, func(record *record, submit func(fleet.ProfileName) scheduler.Job) {
		// The guarantees need 30 of the 50 workers. One small non-preemptible job on each of 25 workers leaves too few.
		for _, worker := range record.order[:25] {
			record.place(placeOn(submit(profileOnce), 1, false, worker.worker.ID))
		}
	}},
}

// TestRecord guards against a record that does not report a violation, so that the other tests miss faults, and
// against one that reports a violation of a valid sequence.
func TestRecord(t *testing.T) {
	for name, c := range recordCases {
		t.Run(name, func(t *testing.T) {
			deployment, _ := findDeployment(ReedWorks)
			record := newRecord(epoch, deployment.Workers, deployment.Config)
			c.run(record, func(name fleet.ProfileName) scheduler.Job {
				jobProfile, _ := deployment.Config.Lookup("mutua", name)
				job := scheduler.Job{Profile: *jobProfile, Submitted: record.now, Key: fleet.JobKey{
					Organisation: "mutua", Job: fleet.JobID(string(name) + string(rune('a'+len(record.jobs)))),
				}}
				record.submit(job)
				return job
			})
			if c.rule == "" && len(record.violations) > 0 {
				t.Errorf("unexpected violations: %v", record.violations)
			}
			if c.rule != "" && record.violationsByRule[c.rule] == 0 {
				t.Errorf("violation of %s is not reported, got %v", c.rule, record.violations)
			}
		})
	}
}

// TestGuaranteesPack guards against deployments whose guarantees do not fit on an empty fleet, so that no scheduler can
// satisfy them.
func TestGuaranteesPack(t *testing.T) {
	for _, name := range DeploymentNames() {
		deployment, _ := findDeployment(name)
		record := newRecord(epoch, deployment.Workers, deployment.Config)
		if !record.guaranteesFit(nil, false) {
			t.Errorf("%s: the guarantees do not fit on the empty fleet", name)
		}
		record.config = &profile.Config{Organisations: map[fleet.OrganisationID]*profile.Organisation{}}
		if !record.guaranteesFit(nil, false) {
			t.Errorf("%s: a configuration without guarantees does not fit on the empty fleet", name)
		}
	}
}
