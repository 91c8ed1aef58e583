package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/quetzalstall/quetzalstall/platform/standin"
)

const (
	// heartbeat is the interval at which a worker writes its entry; after three of them without a write it is removed.
	heartbeat = 1500 * time.Millisecond
	// longestLease is the longest lease that a worker grants.
	longestLease = 10 * time.Second
	// stopTime is how long a worker takes to stop a run.
	stopTime = 200 * time.Millisecond
	// startupTime is how long a task that lasts takes until it is at work.
	startupTime = 300 * time.Millisecond
	// advanceInterval is the interval at which runs make progress.
	advanceInterval = 20 * time.Millisecond
	// maxListedEnds is the number of ends in one listing.
	maxListedEnds = 500
)

// work is what a task does. It is the payload of the job.
type work struct {
	// Millis is the time that the task takes; it is not used if Lasts is set.
	Millis int64 `json:"work_ms,omitempty"`
	// Lasts is set for a task that runs until it is stopped.
	Lasts bool `json:"lasts,omitempty"`
	// Gang is the number of the members of the gang that the task belongs to, or 0.
	Gang int `json:"gang,omitempty"`
	// GPUs are the accelerators that the task occupies.
	GPUs int `json:"gpus,omitempty"`
}

func (work work) payload() string {
	encoded, err := json.Marshal(work)
	if err != nil {
		panic(err)
	}
	return string(encoded)
}

// run is a run of a task on a worker.
type run struct {
	task     string
	number   int
	worker   string
	work     work
	began    time.Time
	ended    time.Time
	how      string
	stopping time.Time
	end      int64
	acked    bool
}

func (run *run) over() bool { return run.how != "" }

func (run *run) job() string {
	id, _, _ := strings.Cut(run.task, ".")
	return id
}

// fleet has the workers and all runs that they have started.
type fleet struct {
	store   *standin.Store
	record  *record
	service string

	mu      sync.Mutex
	workers []*worker
	runs    []*run
}

// worker is a sound worker that speaks the platform's protocol.
type worker struct {
	fleet          *fleet
	id, rack       string
	address        string
	cpu, mem, gpus int
	server         *http.Server
	started        time.Time
	token          int64
	deadline       time.Duration
	runs           []*run
	lastEnd        int64
	highest        map[string]int
	changed        chan struct{}
	up             bool
	sequence       int
	lastReport     time.Time
}

func newFleet(store *standin.Store, record *record, count, perRack int) (*fleet, error) {
	created := &fleet{store: store, record: record, service: "s"}
	for n := range count {
		worker := &worker{
			fleet: created, id: fmt.Sprintf("i-%02d", n), rack: fmt.Sprintf("r%d", n/perRack),
			cpu: 32000, mem: 131072, gpus: 8,
		}
		if err := worker.start(); err != nil {
			return nil, err
		}
		created.workers = append(created.workers, worker)
	}
	go created.advance()
	return created, nil
}

// start begins the only incarnation of the worker.
func (worker *worker) start() error {
	listener, err := net.Listen("tcp", freeAddress(0))
	if err != nil {
		return err
	}
	worker.address = listener.Addr().String()
	worker.started, worker.up = time.Now(), true
	worker.highest, worker.changed = map[string]int{}, make(chan struct{})
	server := &http.Server{Handler: http.HandlerFunc(worker.serve), ReadHeaderTimeout: time.Second}
	worker.server = server
	go func() { _ = server.Serve(listener) }()
	return nil
}

// crash ends the process of a worker: all runs end with it, and connections to it are reset.
func (fleet *fleet) crash(worker *worker) {
	fleet.mu.Lock()
	lost := 0
	for _, run := range worker.runs {
		if !run.over() {
			run.how, run.ended = "crashed", time.Now()
			lost++
		}
	}
	worker.up = false
	server := worker.server
	fleet.mu.Unlock()
	_ = server.Close()
	fleet.record.print("worker %s crashes with %d runs", worker.id, lost)
}

func (worker *worker) clock() time.Duration { return time.Since(worker.started) }

// advance ends runs that are due to end, and writes and removes entries of workers.
func (fleet *fleet) advance() {
	for {
		time.Sleep(advanceInterval)
		fleet.mu.Lock()
		for _, worker := range fleet.workers {
			if worker.up {
				worker.advance()
			}
			fleet.report(worker)
		}
		fleet.mu.Unlock()
	}
}

func (fleet *fleet) report(worker *worker) {
	key, now := "servers/"+worker.id, time.Now()
	switch {
	case worker.up && now.Sub(worker.lastReport) >= heartbeat:
		worker.sequence++
		worker.lastReport = now
		fleet.store.Put(key, map[string]any{
			"service": fleet.service, "address": worker.address, "zone": "z", "version": "v1", "slots": 8,
			"state": "ready", "cold_remaining_ms": 0, "sequence": worker.sequence,
			"labels":   []string{"a", worker.rack},
			"capacity": map[string]int{"cpu": worker.cpu, "mem_mb": worker.mem, "gpu": worker.gpus},
			"clock_ms": worker.clock().Milliseconds(), "born": worker.started.UnixMilli(),
		})
	case !worker.up && !worker.lastReport.IsZero() && now.Sub(worker.lastReport) >= 3*heartbeat:
		worker.lastReport = time.Time{}
		fleet.store.Delete(key)
	}
}

func (worker *worker) advance() {
	now := time.Now()
	lapsed := worker.clock() > worker.deadline
	for _, run := range worker.runs {
		if run.over() {
			continue
		}
		began, complete, broken := worker.fleet.gangOf(run)
		switch {
		case !run.stopping.IsZero() && now.Sub(run.stopping) >= stopTime:
			worker.finish(run, "stopped")
		case lapsed:
			worker.finish(run, "lapsed")
		case broken:
			worker.finish(run, "broken")
		case !complete && now.Sub(run.began) >= 3*time.Second:
			worker.finish(run, "alone")
		case complete && !run.work.Lasts && now.Sub(began).Milliseconds() >= run.work.Millis:
			worker.finish(run, "done")
		}
	}
}

// gangOf returns when a run began to work, whether its gang is complete, and whether a member has ended otherwise than
// done.
func (fleet *fleet) gangOf(run *run) (began time.Time, complete, broken bool) {
	if run.work.Gang <= 1 {
		return run.began, true, false
	}
	step := run.task[:strings.LastIndex(run.task, ".")+1]
	present := 0
	for _, other := range fleet.runs {
		if other.number != run.number || !strings.HasPrefix(other.task, step) {
			continue
		}
		if other.over() && other.how != "done" {
			return began, false, true
		}
		present++
		if other.began.After(began) {
			began = other.began
		}
	}
	return began, present >= run.work.Gang, false
}

func (worker *worker) finish(run *run, how string) {
	worker.lastEnd++
	run.how, run.ended, run.end = how, time.Now(), worker.lastEnd
	worker.highest[run.task] = max(worker.highest[run.task], run.number)
	close(worker.changed)
	worker.changed = make(chan struct{})
	worker.fleet.record.print("run %s #%d on %s ended: %s", run.task, run.number, worker.id, how)
}

type order struct {
	Task     string `json:"task"`
	Run      int    `json:"run"`
	Payload  string `json:"spec"`
	Deadline int64  `json:"deadline_ms"`
	Token    int64  `json:"fencing_token"`
	Cursor   int64  `json:"ack_cursor"`
	Wait     int64  `json:"wait_ms"`
}

func reply(writer http.ResponseWriter, status int, body any) {
	encoded, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_, _ = writer.Write(encoded)
}

func (worker *worker) serve(writer http.ResponseWriter, call *http.Request) {
	var order order
	if err := json.NewDecoder(call.Body).Decode(&order); err != nil {
		reply(writer, http.StatusBadRequest, struct{}{})
		return
	}
	fleet := worker.fleet
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	if call.Header.Get("Target-Instance") != worker.id {
		reply(writer, http.StatusMisdirectedRequest, struct{}{})
		return
	}
	if order.Token < worker.token {
		reply(writer, http.StatusConflict, worker.refusal("fence"))
		return
	}
	worker.token = order.Token
	until := min(time.Duration(order.Deadline)*time.Millisecond, worker.clock()+longestLease)
	worker.advance()
	worker.deadline = max(worker.deadline, until)
	switch call.URL.Path {
	case "/run-start":
		worker.serveStart(writer, order)
	case "/run-stop":
		worker.serveStop(writer, order)
	case "/hold":
		worker.serveHold(call.Context(), writer, order)
	case "/pace":
		reply(writer, http.StatusOK, worker.answer())
	default:
		reply(writer, http.StatusBadRequest, struct{}{})
	}
}

func (worker *worker) answer() map[string]any {
	return map[string]any{"clock_ms": worker.clock().Milliseconds(), "born": worker.started.UnixMilli()}
}

func (worker *worker) refusal(reason string) map[string]any {
	answer := worker.answer()
	answer["reason"] = reason
	return answer
}

func (worker *worker) serveStart(writer http.ResponseWriter, order order) {
	for _, run := range worker.runs {
		if run.task == order.Task && run.number == order.Run && !run.over() {
			reply(writer, http.StatusOK, worker.answer())
			return
		}
	}
	switch {
	case order.Run <= worker.highest[order.Task]:
		reply(writer, http.StatusConflict, worker.refusal("old"))
		return
	case time.Duration(order.Deadline)*time.Millisecond < worker.clock():
		reply(writer, http.StatusConflict, worker.refusal("late"))
		return
	}
	created := &run{task: order.Task, number: order.Run, worker: worker.id, began: time.Now()}
	if err := json.Unmarshal([]byte(order.Payload), &created.work); err != nil {
		reply(writer, http.StatusBadRequest, struct{}{})
		return
	}
	worker.runs = append(worker.runs, created)
	worker.fleet.runs = append(worker.fleet.runs, created)
	worker.fleet.record.print("run %s #%d started on %s", created.task, created.number, worker.id)
	reply(writer, http.StatusOK, worker.answer())
}

func (worker *worker) serveStop(writer http.ResponseWriter, order order) {
	worker.highest[order.Task] = max(worker.highest[order.Task], order.Run)
	for _, run := range worker.runs {
		if run.task == order.Task && run.number == order.Run && !run.over() && run.stopping.IsZero() {
			run.stopping = time.Now()
		}
	}
	reply(writer, http.StatusOK, worker.answer())
}

// serveHold waits for an end that is not acknowledged, if the order says so, and lists the runs. It is called with the
// fleet locked.
func (worker *worker) serveHold(ctx context.Context, writer http.ResponseWriter, order order) {
	for _, run := range worker.runs {
		if run.over() && run.end <= order.Cursor {
			run.acked = true
		}
	}
	deadline := time.Now().Add(time.Duration(order.Wait) * time.Millisecond)
	for !worker.hasEnds() && time.Now().Before(deadline) && ctx.Err() == nil {
		changed := worker.changed
		worker.fleet.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
		case <-time.After(time.Until(deadline)):
		}
		worker.fleet.mu.Lock()
	}
	if !worker.up {
		panic(http.ErrAbortHandler)
	}
	running, finished := []any{}, []any{}
	for _, run := range worker.runs {
		switch {
		case !run.over():
			running = append(running, []any{run.task, run.number, "", worker.percent(run), 0})
		case !run.acked && len(finished) < maxListedEnds:
			finished = append(finished, []any{run.end, run.task, run.number, run.how, ""})
		}
	}
	answer := worker.answer()
	answer["running"], answer["finished"] = running, finished
	reply(writer, http.StatusOK, answer)
}

func (worker *worker) hasEnds() bool {
	for _, run := range worker.runs {
		if run.over() && !run.acked {
			return true
		}
	}
	return false
}

func (worker *worker) percent(run *run) int64 {
	began, complete, _ := worker.fleet.gangOf(run)
	worked := time.Since(began)
	switch {
	case !complete:
		return 0
	case run.work.Lasts && worked >= startupTime:
		return 100
	case run.work.Lasts:
		return 0
	}
	return min(99, worked.Milliseconds()*100/max(1, run.work.Millis))
}

// runsOf returns copies of the runs of a job.
func (fleet *fleet) runsOf(job string) []run {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	var found []run
	for _, run := range fleet.runs {
		if run.job() == job {
			found = append(found, *run)
		}
	}
	return found
}

// free returns the accelerators of the workers that are up and not occupied, and those that are occupied.
func (fleet *fleet) free() (free, used int) {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	for _, worker := range fleet.workers {
		if !worker.up {
			continue
		}
		free += worker.gpus
		for _, run := range worker.runs {
			if !run.over() {
				free -= run.work.GPUs
				used += run.work.GPUs
			}
		}
	}
	return free, used
}
