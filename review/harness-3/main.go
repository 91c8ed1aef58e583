// Command harness-3 plays the scripted cases of the third review: it starts daemons as processes, with stand-ins of the
// platform, of workers and of clients on loopback addresses, brings one disruption about and checks one rule.
package main

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"strings"
	"time"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// scenario plays a case and returns what breaks the rule, or nothing. With trouble false it leaves the disruption out.
type scenario func(record *record, trouble bool) (broken []string, err error)

var scenarios = map[string]scenario{
	"lost-with-the-leader": lostWithTheLeader,
	"behind-headroom":      behindHeadroom,
	"stored-late":          storedLate,
	"far-from-data":        farFromData,
	"due-at-once":          dueAtOnce,
}

func main() {
	name := flag.String("case", "", "name of the case")
	path := flag.String("record", "record.txt", "file for what was sent, answered and run")
	flag.Parse()
	os.Exit(play(*name, *path, os.Getenv("TROUBLE") != "0"))
}

func play(name, path string, trouble bool) int {
	scenario, ok := scenarios[name]
	if !ok {
		fmt.Fprintf(os.Stderr, "no case %q\n", name)
		return exitNotRun
	}
	record, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	record.print("case %s, trouble %t", name, trouble)
	broken, err := scenario(record, trouble)
	switch {
	case err != nil:
		record.print("the case could not run: %v", err)
		fmt.Println("the case could not run:", err)
		return exitNotRun
	case len(broken) > 0:
		record.print("broken: %s", strings.Join(broken, "; "))
		fmt.Println("broken:", strings.Join(broken, "; "))
		return exitBroken
	}
	record.print("held")
	fmt.Println("held")
	return exitHeld
}

// await waits until a condition holds.
func await(what string, within time.Duration, holds func() bool) error {
	for began := time.Now(); time.Since(began) < within; time.Sleep(50 * time.Millisecond) {
		if holds() {
			return nil
		}
	}
	return fmt.Errorf("%s: not within %s", what, within)
}

const (
	// restartWithin is the time after its last run from which on a task that lasts has to run where there is capacity.
	restartWithin = 6 * time.Second
	// idleLimit is how long it may then have nothing running, and calmBefore how long before there must be no disruption.
	idleLimit  = 3 * time.Second
	calmBefore = 4 * time.Second
)

// lastingJob is a job of tasks that last, each with 1 accelerator.
func lastingJob(count, maxPerServer int) []byte {
	return jobBody(step{
		Count: count, CPU: 1000, Memory: 1000, GPU: 1, Estimate: 1000, LongRunning: true, MaxPerServer: maxPerServer,
	}, work{Lasts: true})
}

// running returns how many tasks of a job run.
func (fleet *fleet) running(job string) int {
	count := 0
	for _, run := range fleet.runsOf(job) {
		if !run.over() {
			count++
		}
	}
	return count
}

// idleTasks describes the tasks of a job that last and that had nothing running for idleLimit, later than restartWithin
// after their last run, without a disruption since calmBefore before that. calm is when the last disruption ended.
func (fleet *fleet) idleTasks(job string, calm time.Time) []string {
	byTask := map[string][]run{}
	for _, run := range fleet.runsOf(job) {
		byTask[run.task] = append(byTask[run.task], run)
	}
	var idle []string
	for task, runs := range byTask {
		for i, run := range runs {
			if !run.over() {
				continue
			}
			until := time.Now()
			if i+1 < len(runs) {
				until = runs[i+1].began
			}
			from := run.ended.Add(restartWithin)
			if at := calm.Add(calmBefore); at.After(from) {
				from = at
			}
			if until.Sub(from) >= idleLimit {
				idle = append(idle, fmt.Sprintf("%s had nothing running for %.1f s after run %d", task,
					until.Sub(run.ended).Seconds(), run.number))
			}
		}
	}
	slices.Sort(idle)
	return idle
}

// lostWithTheLeader crashes a worker for good and kills the daemon that gives the orders at the same moment.
func lostWithTheLeader(record *record, trouble bool) ([]string, error) {
	deployed, err := deploy(record, 3, 12, 4)
	if err != nil {
		return nil, err
	}
	defer deployed.close()
	job, err := deployed.submit(deployed.daemons[0], plainHost, plainPrefix, lastingJob(4, 1))
	if err != nil {
		return nil, err
	}
	if err := await("4 tasks run", 10*time.Second, func() bool { return deployed.fleet.running(job) == 4 }); err != nil {
		return nil, err
	}
	time.Sleep(8 * time.Second)
	calm := time.Now()
	if trouble {
		leader := deployed.leader()
		if leader == nil {
			return nil, fmt.Errorf("no daemon leads")
		}
		deployed.fleet.crash(deployed.fleet.workerOf(job))
		deployed.kill(leader)
		time.Sleep(500 * time.Millisecond)
		if err := deployed.start(leader); err != nil {
			return nil, err
		}
		calm = time.Now()
	}
	time.Sleep(25 * time.Second)
	free, used := deployed.fleet.free()
	record.print("%d accelerators are free, %d in use", free, used)
	return deployed.fleet.idleTasks(job, calm), nil
}

// workerOf returns the worker of the first running task of a job.
func (fleet *fleet) workerOf(job string) *worker {
	for _, run := range fleet.runsOf(job) {
		for _, worker := range fleet.workers {
			if !run.over() && worker.id == run.worker {
				return worker
			}
		}
	}
	return nil
}

// behindHeadroom crashes a worker for good in a service of which most is occupied by tasks that last, while urgent jobs
// come all the time.
func behindHeadroom(record *record, trouble bool) ([]string, error) {
	deployed, err := deploy(record, 3, 12, 4)
	if err != nil {
		return nil, err
	}
	defer deployed.close()
	const lasting = 82
	job, err := deployed.submit(deployed.daemons[0], plainHost, plainPrefix, lastingJob(lasting, 0))
	if err != nil {
		return nil, err
	}
	if err := await("the tasks run", 15*time.Second, func() bool { return deployed.fleet.running(job) == lasting }); err != nil {
		return nil, err
	}
	stop := make(chan struct{})
	ended := make(chan int)
	go func() { ended <- deployed.sendUrgent(stop) }()
	time.Sleep(12 * time.Second)
	calm := time.Now()
	if trouble {
		deployed.fleet.crash(deployed.fleet.fullWorker())
	}
	lowest := deployed.fleet.watchFree(40 * time.Second)
	record.print("at least %d accelerators were free from 6 s on", lowest)
	idle := deployed.fleet.idleTasks(job, calm)
	close(stop)
	record.print("%d urgent jobs were accepted", <-ended)
	if lowest < 2 {
		return nil, fmt.Errorf("there was not capacity for a task twice over")
	}
	return idle, nil
}

// fullWorker returns a worker of which all accelerators are in use, or the first one.
func (fleet *fleet) fullWorker() *worker {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	for _, worker := range fleet.workers {
		used := 0
		for _, run := range worker.runs {
			if !run.over() {
				used += run.work.GPUs
			}
		}
		if used == worker.gpus {
			return worker
		}
	}
	return fleet.workers[0]
}

// farFromData crashes a worker in the rack of the data of tasks that last, while the rest of the rack is full and there is
// room in other racks.
func farFromData(record *record, trouble bool) ([]string, error) {
	deployed, err := deploy(record, 3, 12, 4)
	if err != nil {
		return nil, err
	}
	defer deployed.close()
	const near, anywhere = 32, 30
	step := step{Count: near, CPU: 1000, Memory: 1000, GPU: 1, Estimate: 1000, LongRunning: true, Affinity: "r0"}
	job, err := deployed.submit(deployed.daemons[0], plainHost, plainPrefix, jobBody(step, work{Lasts: true}))
	if err != nil {
		return nil, err
	}
	if err := await("the tasks run", 15*time.Second, func() bool { return deployed.fleet.running(job) == near }); err != nil {
		return nil, err
	}
	other, err := deployed.submit(deployed.daemons[1], plainHost, plainPrefix, lastingJob(anywhere, 0))
	if err != nil {
		return nil, err
	}
	if err := await("the tasks run", 15*time.Second, func() bool { return deployed.fleet.running(other) == anywhere }); err != nil {
		return nil, err
	}
	time.Sleep(8 * time.Second)
	calm := time.Now()
	if trouble {
		deployed.fleet.crash(deployed.fleet.workerOf(job))
	}
	lowest := deployed.fleet.watchFree(40 * time.Second)
	record.print("at least %d accelerators were free from 6 s on", lowest)
	return deployed.fleet.idleTasks(job, calm), nil
}

// watchFree returns the smallest number of free accelerators in a time, from restartWithin on.
func (fleet *fleet) watchFree(length time.Duration) int {
	lowest := 1 << 20
	for began := time.Now(); time.Since(began) < length; time.Sleep(20 * time.Millisecond) {
		if free, _ := fleet.free(); time.Since(began) > restartWithin {
			lowest = min(lowest, free)
		}
	}
	return lowest
}

// sendUrgent hands in an urgent job each 0.65 s, a gang of 2 tasks with 2 accelerators each that takes 0.6 s, and returns
// how many were accepted.
func (deployed *deployment) sendUrgent(stop <-chan struct{}) int {
	body := jobBody(step{Count: 2, CPU: 1000, Memory: 1000, GPU: 2, Estimate: 600, Gang: true}, work{Millis: 600})
	accepted := 0
	for n := 0; ; n++ {
		select {
		case <-stop:
			return accepted
		case <-time.After(650 * time.Millisecond):
		}
		if _, err := deployed.submit(deployed.daemons[n%len(deployed.daemons)], urgentHost, urgentPrefix, body); err == nil {
			accepted++
		}
	}
}

// finishTime is the time after the last submission at which clients ask for their jobs, and finishIdle how long a job may
// then have nothing running where there is capacity for it twice over.
const (
	finishTime = 14 * time.Second
	finishIdle = 3 * time.Second
)

// dueAtOnce hands in small jobs and, among them, one large scheduled job that no worker can run.
func dueAtOnce(record *record, trouble bool) ([]string, error) {
	deployed, err := deploy(record, 3, 12, 4)
	if err != nil {
		return nil, err
	}
	defer deployed.close()
	ended := deployed.endOverMemory()
	large := step{Count: 1, CPU: 1000, Memory: 1000, GPU: 1, Estimate: 1000, Label: "nobody"}
	steps, occurrences := 1, 1
	if trouble {
		steps, occurrences, large.Count = 7, 256, 4000
	}
	small := jobBody(step{Count: 1, CPU: 1000, Memory: 1000, GPU: 1, Estimate: 500}, work{Millis: 500})
	var jobs []string
	for n := range 40 {
		if n == 8 {
			body := scheduledJobBody(slices.Repeat([]step{large}, steps), time.Now(), time.Millisecond, occurrences)
			if _, err := deployed.submit(deployed.daemons[0], batchHost, batchPrefix, body); err != nil {
				return nil, err
			}
		}
		if id, err := deployed.submit(deployed.daemons[n%3], plainHost, plainPrefix, small); err == nil {
			jobs = append(jobs, id)
		}
		time.Sleep(500 * time.Millisecond)
	}
	time.Sleep(finishTime + finishIdle)
	_, used := deployed.fleet.free()
	idle := 0
	for _, job := range jobs {
		if len(deployed.fleet.runsOf(job)) == 0 {
			idle++
		}
	}
	ends := ended()
	record.print("%d daemons were ended for their memory, %d accelerators are in use", ends, used)
	if idle == 0 {
		return nil, nil
	}
	return []string{fmt.Sprintf("%d of %d accepted jobs have never run; %d daemons were ended for their memory", idle,
		len(jobs), ends)}, nil
}

// cancelTime is the time after the acknowledgement of its cancelling from which on no task of a job may start.
const cancelTime = 3 * time.Second

// storedLate has the store carry out the writes of one submission late, and cancels the job meanwhile.
func storedLate(record *record, trouble bool) ([]string, error) {
	deployed, err := deploy(record, 3, 12, 4)
	if err != nil {
		return nil, err
	}
	defer deployed.close()
	body := jobBody(step{Count: 1, CPU: 1000, Memory: 1000, GPU: 1, Estimate: 1000}, work{Millis: 1000})
	stop, ended := make(chan struct{}), make(chan struct{})
	job := deployed.newID()
	go func() {
		defer close(ended)
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(100 * time.Millisecond):
			}
			id := fmt.Sprintf("%016x", 0xdef000+n)
			deployed.call(deployed.daemons[n%3], "POST", plainHost, plainPrefix+id, body)
		}
	}()
	defer func() { close(stop); <-ended }()
	time.Sleep(3 * time.Second)
	if trouble {
		deployed.beginLate("quetzalstall/job/"+job, 5900*time.Millisecond)
	}
	status, _ := deployed.call(deployed.daemons[0], "POST", plainHost, plainPrefix+job, body)
	if trouble && status/100 == 2 {
		return nil, fmt.Errorf("the submission was answered")
	}
	cancelled := 0
	for range 4 {
		cancelled, _ = deployed.call(deployed.daemons[1], "DELETE", plainHost, plainPrefix+job, nil)
		if cancelled/100 == 2 || cancelled == 410 {
			break
		}
		time.Sleep(300 * time.Millisecond)
	}
	acknowledged := time.Now()
	if trouble {
		time.Sleep(time.Second)
		if share := deployed.endLate(); share > 0.35 {
			return nil, fmt.Errorf("%.2f of the writes were late", share)
		}
	}
	if cancelled/100 != 2 && cancelled != 410 {
		return nil, fmt.Errorf("the cancellation was answered with %d", cancelled)
	}
	time.Sleep(12 * time.Second)
	state := deployed.state(deployed.daemons[2], plainHost, plainPrefix, job)
	var broken []string
	for _, run := range deployed.fleet.runsOf(job) {
		if late := run.began.Sub(acknowledged); late > cancelTime {
			broken = append(broken, fmt.Sprintf("%s started %.1f s after the cancelling was acknowledged with %d; the job is %s",
				run.task, late.Seconds(), cancelled, state))
		}
	}
	return broken, nil
}
