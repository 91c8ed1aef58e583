package control

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/quetzalstall/quetzalstall/internal/keyvalue"
	"github.com/quetzalstall/quetzalstall/pkg/progress"
	"github.com/quetzalstall/quetzalstall/pkg/workload"
)

// TestRestoredLeasesExpire guards against runs of a silent worker that are given up while a lease there may last, and against
// runs that are held for FormerLeaseLimit although the former controllers are known to have ceased.
func TestRestoredLeasesExpire(t *testing.T) {
	const (
		limit = 16 * time.Second
		// provenEnd is the time after the start of the term by which the leases of former controllers have ended.
		provenEnd = 6 * time.Second
		// clock is that of the worker when the term starts, in its entry.
		clock = 20 * time.Second
		slack = 2 * tickInterval
	)
	over := progress.Location{Worker: "w", Incarnation: 7, Address: "w:1", Term: 3, PriorLeases: priorLeasesOver}
	change := func(apply func(*progress.Location)) []progress.Location {
		location := over
		apply(&location)
		return []progress.Location{location}
	}
	tests := []struct {
		name  string
		runs  []progress.Location
		known bool
		// alter changes the state of the worker after the runs were restored.
		alter func(*dispatcher, *worker)
		// storeLost is set if the store does not respond any more.
		storeLost bool
		want      time.Duration
	}{
		{name: "former controllers have ceased", runs: []progress.Location{over}, known: true, want: provenEnd},
		{name: "several runs", runs: []progress.Location{over, over}, known: true, want: provenEnd},
		{name: "former controllers may go on", runs: []progress.Location{over}, want: limit},
		{
			name: "leases of earlier orders end before", known: true, want: provenEnd,
			runs: change(func(at *progress.Location) { at.PriorLeases = 22000 }),
		},
		{
			name: "leases of earlier orders end later", known: true, want: localTime(8*time.Second) + leaseExpirySlack,
			runs: change(func(at *progress.Location) { at.PriorLeases = 28000 }),
		},
		{
			name: "leases of earlier orders on a worker without an entry", known: true, want: limit,
			runs:  change(func(at *progress.Location) { at.PriorLeases = 22000 }),
			alter: func(_ *dispatcher, known *worker) { known.entry.Clock = 0 },
		},
		{
			name: "record without the leases of earlier orders", known: true, want: limit,
			runs: change(func(at *progress.Location) { at.PriorLeases = 0 }),
		},
		{
			name: "record without the term", known: true, want: limit,
			runs: append(change(func(at *progress.Location) { at.Term = 0 }), over),
		},
		{
			name: "record without the incarnation", known: true, want: limit,
			runs: change(func(at *progress.Location) { at.Incarnation = 0 }),
		},
		{
			name: "runs of two incarnations", known: true, want: limit,
			runs: append(change(func(at *progress.Location) { at.Incarnation = 6 }), over),
		},
		{
			name: "runs of a former incarnation", known: true, want: limit,
			runs: change(func(at *progress.Location) { at.Incarnation = 6 }),
		},
		{
			name: "entry of a later incarnation", runs: []progress.Location{over}, known: true, want: limit,
			alter: func(_ *dispatcher, known *worker) { known.entry.Incarnation = 8 },
		},
		{
			name: "contested entry", runs: []progress.Location{over}, known: true, want: limit,
			alter: func(loop *dispatcher, known *worker) { loop.contested[known.entry.ID] = WorkerEntry{Incarnation: 8} },
		},
		{
			name: "link that is not the first one", runs: []progress.Location{over}, known: true, want: limit,
			alter: func(_ *dispatcher, known *worker) { known.link.former = known.link.nextFormerLeases() },
		},
		{name: "store does not respond", runs: []progress.Location{over}, known: true, storeLost: true, want: limit},
		{
			name: "worker that has responded", runs: []progress.Location{over}, known: true, want: limit,
			alter: func(_ *dispatcher, known *worker) { known.link.responded = true },
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				loop := newTestLoop(t, 0)
				began := time.Now()
				loop.Clock = func() time.Duration { return time.Since(began) }
				loop.FormerLeaseLimit, loop.LeaseDuration, loop.MaxLease = limit, 5*time.Second, 10*time.Second
				loop.FormerLeasesEnd = func(from, to keyvalue.Revision) (time.Duration, bool) {
					if from != 3 || to != loop.term.Token {
						t.Errorf("the leases of the terms from %d to %d are asked for", from, to)
					}
					return provenEnd, test.known
				}
				entry := WorkerEntry{ID: "w", Incarnation: 7, Address: "w:1", Clock: WorkerClock(clock), ReadAt: time.Now()}
				known := newWorker(entry)
				known.link = &link{loop: loop.dispatcher, entry: entry, former: loop.firstFormerLeases()}
				known.unresponsive = true
				for _, at := range test.runs {
					known.restored.add(at)
				}
				if test.alter != nil {
					test.alter(loop.dispatcher, known)
				}
				for !loop.leasesExpired(known) && time.Since(began) < time.Minute {
					time.Sleep(tickInterval)
					if !test.storeLost {
						loop.entriesConfirmedAt = loop.clock()
					}
				}
				if got := time.Since(began); got < test.want || got > test.want+slack {
					t.Errorf("the leases count as expired after %s, want %s", got, test.want)
				}
			})
		})
	}
}

// TestRecordTellsPriorLeases guards against a record which says that leases of earlier orders are over while one may last, or
// which does not say it later on.
func TestRecordTellsPriorLeases(t *testing.T) {
	tests := []struct {
		name string
		// answered is how long the worker has answered when the task is placed, and over whether such leases are over then.
		answered time.Duration
		over     bool
	}{
		{"worker that has just answered", 0, false},
		{"worker that answered 9 s ago", 8 * time.Second, false},
		{"worker that answered long ago", 11 * time.Second, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			withRestartableWorker(t, func(loop *testLoop, restarted *restartableWorker, worker *worker) {
				loop.term.Token = 12
				restarted.restart()
				loop.observeRestart(restarted, worker)
				loop.pump(time.Second)
				loop.observeRestart(restarted, worker)
				if !worker.settled {
					t.Fatal("the worker has not answered")
				}
				first := worker.link.priorLeases
				loop.pump(test.answered)
				job := loop.startTasks(1)
				at := job.record.Tasks(0, 0)[0].At
				want := progress.Location{
					Worker: worker.entry.ID, Incarnation: 2, Address: worker.entry.Address, Term: 12, PriorLeases: priorLeasesOver,
				}
				if !test.over {
					want.PriorLeases = first.milliseconds() + 1
				}
				if at != want {
					t.Errorf("recorded %+v, want %+v", at, want)
				}
				if response := time.Duration(first) - loop.MaxLease; response < 0 || response > 2*time.Second {
					t.Errorf("leases of earlier orders end %s after the start of the worker", time.Duration(first))
				}
			})
		})
	}
}

// TestRunWithoutKnownIncarnation guards against a record that tells the leases of a worker whose incarnation is not known.
func TestRunWithoutKnownIncarnation(t *testing.T) {
	withFakeWorker(t, func(loop *testLoop, _ *fakeWorker, worker *worker) {
		loop.pump(time.Second)
		job := loop.submit(1, workload.Step{Tasks: 1, Each: workload.Resources{Millicores: 1000}, LongRunning: true})
		loop.plan()
		if at := job.record.Tasks(0, 0)[0].At; !worker.settled || at.PriorLeases != 0 {
			t.Errorf("prior leases %d are recorded, want none", at.PriorLeases)
		}
	})
}
