package control

import "time"

// presence is what is known of whether a run has been on its worker.
type presence int

const (
	// presenceNone means that the start was not sent, so that the run does not exist. A run whose start found no
	// connection to the worker is ended at once.
	presenceNone presence = iota
	// presencePossible means that the start was sent and has no response. The worker may have ended before it arrived,
	// even if a connection to it ended only later: the next incarnation resets the connections of the former one.
	presencePossible
	// presenceRecorded means that a former controller had stored the decision to start the run. What became of the start
	// is not known in this term.
	presenceRecorded
	// presenceConfirmed means that the worker has responded to the start, or that the record says so of a run of a former
	// controller.
	presenceConfirmed
	// presenceListed means that a listing of the worker has contained the run.
	presenceListed
)

// String returns the name of the presence in logs.
func (presence presence) String() string {
	return [...]string{"none", "possible", "recorded", "confirmed", "listed"}[presence]
}

func (run *run) presence() presence {
	switch {
	case !run.startSent:
		return presenceNone
	case run.firstListed != 0:
		return presenceListed
	case run.confirmedAt != 0 || run.seenEarlier:
		return presenceConfirmed
	case run.restored:
		return presenceRecorded
	}
	return presencePossible
}

// confirmStart records that a worker has responded to the start, and on which incarnation the run is: the one that the
// present link is for, with the given token, or a later one. A response to a former link by the former incarnation says
// nothing of the present one.
func (run *run) confirmStart(outcome startOutcome, present Token, now time.Duration) {
	current := outcome.token == present
	if current || outcome.otherIncarnation {
		run.confirmedAt = now
	}
	run.onNextIncarnation = current && outcome.otherIncarnation
}

// followRestart forgets what is known of the run on the former incarnation of its worker. The run is on the present one
// only if the start was carried out there.
func (run *run) followRestart() {
	run.begunBefore = run.begun()
	if !run.onNextIncarnation {
		run.confirmedAt = 0
	}
	run.onNextIncarnation, run.firstListed, run.survived, run.cleared, run.seenEarlier = false, 0, false, false, false
}

// begun reports whether a worker is known to have begun the run, on its present incarnation or a former one.
func (run *run) begun() bool { return run.begunBefore || run.presence() >= presenceConfirmed }

// evidence reports whether a run with this presence counts as one that was on its worker: its job has begun, and a crash
// of the worker may count against its task. A recorded run counts, because a task that crashes its workers would otherwise
// be started without end while controllers change, but no job fails for such runs alone; see progress.Crash.
func (presence presence) evidence() bool { return presence >= presenceRecorded }
