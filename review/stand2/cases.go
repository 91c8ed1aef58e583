package main

import (
	"fmt"
	"time"
)

const (
	fillerID  = "5c0e7a21d94b36f8"
	watchedID = "77b1c0de4a9e2d13"
	fillers   = minionCount - 1
)

// wholeMinion is a step of tasks that last and need all accelerators of a minion each.
func wholeMinion(count int) jobBody {
	return jobBody{Spec: work{}.spec(), Steps: []step{{
		Count: count, CPU: 13000, Memory: 19000, GPU: 8, Estimate: 11000, LongRunning: true,
	}}}
}

// fill hands in a job whose lasting tasks take all minions but one, and waits until they run.
func (deployment *deployment) fill() error {
	if err := deployment.client.submit(deployment.daemons[0], steady, fillerID, wholeMinion(fillers)); err != nil {
		return err
	}
	for n := range fillers {
		task := fmt.Sprintf("%s.0.0.%d", fillerID, n)
		if !await(5*time.Second, func() bool { return running(deployment.minions, task) != "" }) {
			return fmt.Errorf("task %s does not run", task)
		}
	}
	return nil
}

const (
	// upTime and downTime are those of a minion that crashes again and again.
	upTime   = 10 * time.Second
	downTime = 1500 * time.Millisecond
	crashes  = 5
)

// playCrashes lets the one minion with room crash and start again some times under a task that lasts.
func playCrashes(deployment *deployment) error {
	if err := deployment.fill(); err != nil {
		return err
	}
	client, daemons := deployment.client, deployment.daemons
	if err := client.submit(daemons[1], second, watchedID, wholeMinion(1)); err != nil {
		return err
	}
	task := watchedID + ".0.0.0"
	if !await(5*time.Second, func() bool { return running(deployment.minions, task) != "" }) {
		return fmt.Errorf("task %s does not run", task)
	}
	crashing := deployment.minionNamed(running(deployment.minions, task))
	check := func(n int) {
		_, state := client.state(daemons[n%len(daemons)], second, watchedID)
		if failed := deployment.record.endsOf(watchedID, "failed"); state == "failed" || state == "cancelled" {
			deployment.record.broken("job %s, which lasts until it is cancelled and which nobody has cancelled, is shown as %s"+
				" after %d ends failed", watchedID, state, failed)
		}
	}
	for n := range crashes {
		time.Sleep(upTime)
		if deployment.trouble {
			crashing.crash()
			time.Sleep(downTime)
			if err := crashing.start(); err != nil {
				return err
			}
		}
		check(n)
	}
	for n := range 8 {
		time.Sleep(time.Second)
		check(n)
	}
	deployment.record.write("at the end task %s runs on %q; %d starts", task, running(deployment.minions, task),
		deployment.record.startsOf(watchedID))
	return nil
}

const (
	// visible and visibleSlack are the age from which on an accepted job that has not begun has to be counted.
	visible      = 3 * time.Second
	visibleSlack = 2 * time.Second
	watchTime    = 25 * time.Second
)

// playLostMinion loses the one minion with room for good, just before a job comes.
func playLostMinion(deployment *deployment) error {
	if err := deployment.fill(); err != nil {
		return err
	}
	client, daemons := deployment.client, deployment.daemons
	if deployment.trouble {
		for _, minion := range deployment.minions {
			if !minion.busy() {
				minion.crash()
			}
		}
	}
	time.Sleep(time.Second)
	if err := client.submit(daemons[1], second, watchedID, wholeMinion(1)); err != nil {
		return err
	}
	accepted := time.Now()
	for n := 0; time.Since(accepted) < watchTime; n++ {
		time.Sleep(time.Second)
		client.state(daemons[n%len(daemons)], second, watchedID)
		begun := deployment.record.startsOf(watchedID) > 0
		asked := time.Since(accepted)
		count := client.pending(daemons[n%len(daemons)], second)
		if asked > visible+visibleSlack && !begun && count == 0 {
			deployment.record.broken("%s gives %d pending jobs %.1f s after the one job of the queue was accepted, which has"+
				" not begun", daemons[n%len(daemons)].name, count, asked.Seconds())
		}
	}
	return nil
}

// busy reports whether a task runs on the minion.
func (minion *minion) busy() bool {
	minion.mu.Lock()
	defer minion.mu.Unlock()
	for _, run := range minion.runs {
		if !run.over {
			return true
		}
	}
	return false
}

const (
	// restartLimit and calm are the times after the last run of a lasting task from which on it has to run again if there is
	// room for it twice over.
	restartLimit = 6 * time.Second
	calm         = 3 * time.Second
	// takenMS is how long the tasks work that take five of the minions, in milliseconds.
	takenMS = 60000
	// firstFailure and secondFailure are how long the first two runs of the lasting task work until they fail.
	firstFailure  = 5 * time.Second
	secondFailure = 15 * time.Second
	smallID       = "1f0a6cb35de78294"
	largeID       = "e02b7795a1c4d638"
)

// playLargeJob lets a lasting task fail by itself while a large job waits for room.
func playLargeJob(deployment *deployment) error {
	client, daemons := deployment.client, deployment.daemons
	// Five minions are taken for the rest of the case, and one accelerator of another one by the lasting task.
	taken := jobBody{Spec: work{RunMS: takenMS}.spec(), Steps: []step{{
		Count: 5, CPU: 13000, Memory: 19000, GPU: 8, Estimate: takenMS,
	}}}
	small := jobBody{Spec: work{FailMS: []int64{firstFailure.Milliseconds(), secondFailure.Milliseconds()}}.spec(), Steps: []step{{
		Count: 1, CPU: 2800, Memory: 5700, GPU: 1, Estimate: 3000, LongRunning: true,
	}}}
	large := jobBody{Spec: work{RunMS: 11000, Gang: 4}.spec(), Steps: []step{{
		Count: 4, CPU: 13000, Memory: 19000, GPU: 8, Estimate: 11000, Gang: true,
	}}}
	if err := client.submit(daemons[0], steady, fillerID, taken); err != nil {
		return err
	}
	if err := client.submit(daemons[1], second, smallID, small); err != nil {
		return err
	}
	task := smallID + ".0.0.0"
	if !await(5*time.Second, func() bool { return running(deployment.minions, task) != "" }) {
		return fmt.Errorf("task %s does not run", task)
	}
	restarted := func() bool {
		return deployment.record.endsOf(smallID, "failed") == 1 && running(deployment.minions, task) != ""
	}
	if !await(firstFailure+5*time.Second, restarted) {
		return fmt.Errorf("task %s does not run again", task)
	}
	time.Sleep(secondFailure - 5*time.Second)
	if deployment.trouble {
		if err := client.submit(daemons[2], steady, largeID, large); err != nil {
			return err
		}
	}
	failedTwice := func() bool { return deployment.record.endsOf(smallID, "failed") == 2 }
	if !await(10*time.Second, failedTwice) {
		return fmt.Errorf("task %s does not fail", task)
	}
	failed := time.Now()
	for n := 0; time.Since(failed) < 20*time.Second; n++ {
		time.Sleep(500 * time.Millisecond)
		idle, at := 0, running(deployment.minions, task)
		for _, minion := range deployment.minions {
			if !minion.busy() {
				idle++
			}
		}
		down := time.Since(failed)
		deployment.record.write("%.1f s after its end, task %s runs on %q; %d minions are idle", down.Seconds(), task, at, idle)
		client.state(daemons[n%len(daemons)], second, smallID)
		if at == "" && idle >= 2 && down > restartLimit+calm {
			deployment.record.broken("task %s, which lasts, has not run for %.1f s, while %d minions with room for 8 such"+
				" tasks each are idle", task, down.Seconds(), idle)
		}
	}
	return nil
}

const (
	// flapTime is how long a minion that goes down and up by turns is down, and how long it is up, flapTurns times.
	flapTime  = 1400 * time.Millisecond
	flapTurns = 4
	smallMS   = 2500
)

// playFlappingMinion lets the one minion with room go down and up by turns while a job comes.
func playFlappingMinion(deployment *deployment) error {
	if err := deployment.fill(); err != nil {
		return err
	}
	client, daemons := deployment.client, deployment.daemons
	var flapping *minion
	for _, minion := range deployment.minions {
		if !minion.busy() {
			flapping = minion
		}
	}
	if deployment.trouble {
		flapping.crash()
	}
	time.Sleep(flapTime / 4)
	job := jobBody{Spec: work{RunMS: smallMS}.spec(), Steps: []step{{
		Count: 1, CPU: 3700, Memory: 7600, GPU: 8, Estimate: smallMS,
	}}}
	if err := client.submit(daemons[1], second, watchedID, job); err != nil {
		return err
	}
	check := func(n int) {
		_, state := client.state(daemons[n%len(daemons)], second, watchedID)
		if state == "failed" || state == "cancelled" {
			deployment.record.broken("job %s, which nobody has cancelled, is shown as %s after %d starts and %d ends failed;"+
				" it has %d attempts", watchedID, state, deployment.record.startsOf(watchedID),
				deployment.record.endsOf(watchedID, "failed"), maxAttempts)
		}
	}
	time.Sleep(flapTime * 3 / 4)
	for n := range flapTurns {
		if deployment.trouble && n > 0 {
			flapping.crash()
			time.Sleep(flapTime)
		}
		if deployment.trouble {
			if err := flapping.start(); err != nil {
				return err
			}
		}
		check(n)
		time.Sleep(flapTime)
	}
	for n := range 15 {
		time.Sleep(time.Second)
		check(n)
	}
	return nil
}

const (
	// serviceTime is how long a service works until its minion crashes.
	serviceTime = 60 * time.Second
	urgentJobs  = 4
	settleTime  = 6 * time.Second
	// finish is the time after the end of the traffic from which on no job may wait for idle that there is room for twice.
	finish    = 14 * time.Second
	urgentMS  = 40000
	urgentGPU = 7
)

// playSuspects lets one minion crash once under the tasks of a service, which others' urgent jobs follow.
func playSuspects(deployment *deployment) error {
	client, daemons := deployment.client, deployment.daemons
	service := jobBody{Spec: work{GPU: 1}.spec(), Steps: []step{{
		Count: 8, CPU: 1000, Memory: 1000, GPU: 1, Estimate: 11000, LongRunning: true,
	}}}
	if err := client.submit(daemons[0], steady, fillerID, service); err != nil {
		return err
	}
	first := fillerID + ".0.0.0"
	if !await(5*time.Second, func() bool { return running(deployment.minions, first) != "" }) {
		return fmt.Errorf("task %s does not run", first)
	}
	time.Sleep(serviceTime)
	crashing := deployment.minionNamed(running(deployment.minions, first))
	if deployment.trouble {
		crashing.crash()
		time.Sleep(downTime)
		if err := crashing.start(); err != nil {
			return err
		}
	}
	// The disruption is over for longer than stable_window_ms when the urgent jobs come.
	time.Sleep(settleTime)
	job := jobBody{Spec: work{RunMS: urgentMS, GPU: urgentGPU}.spec(), Steps: []step{{
		Count: 1, CPU: 3700, Memory: 7600, GPU: urgentGPU, Estimate: urgentMS,
	}}}
	for n := range urgentJobs {
		if err := client.submit(daemons[n%len(daemons)], urgent, fmt.Sprintf("%015x%d", 0x3b9a61f04c2d7, n), job); err != nil {
			return err
		}
	}
	handedIn := time.Now()
	for time.Since(handedIn) < finish+6*time.Second {
		time.Sleep(time.Second)
		waiting := 0
		for n := range urgentJobs {
			id := fmt.Sprintf("%015x%d", 0x3b9a61f04c2d7, n)
			client.state(daemons[n%len(daemons)], urgent, id)
			if deployment.record.startsOf(id) == 0 {
				waiting++
			}
		}
		roomy, used := deployment.room(urgentGPU)
		passed := time.Since(handedIn)
		deployment.record.write("%.1f s after the last job: %d of %d urgent jobs have not begun, %d minions have %d GPUs free,"+
			" %d of %d GPUs are in use", passed.Seconds(), waiting, urgentJobs, roomy, urgentGPU, used, minionGPUs*minionCount)
		if passed > finish+calm && waiting > 0 && roomy >= 2 && 2*used < minionGPUs*minionCount {
			deployment.record.broken("%d of %d accepted jobs of priority 0 have not begun %.1f s after the end of the traffic,"+
				" with room for each on %d minions and %d of %d GPUs in use", waiting, urgentJobs, passed.Seconds(), roomy, used,
				minionGPUs*minionCount)
		}
	}
	return nil
}

const minionGPUs = 8

// room returns how many minions have the given number of GPUs free, and how many GPUs are in use.
func (deployment *deployment) room(gpus int) (minions, used int) {
	for _, minion := range deployment.minions {
		minion.mu.Lock()
		taken := 0
		for _, run := range minion.runs {
			if !run.over {
				taken += run.work.GPU
			}
		}
		if minion.up && minionGPUs-taken >= gpus {
			minions++
		}
		used += taken
		minion.mu.Unlock()
	}
	return minions, used
}
