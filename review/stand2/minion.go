package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"sync"
	"time"
)

const (
	heartbeat = 1500 * time.Millisecond
	// silentBeats is the number of heartbeats after which the platform removes the entry of a silent minion.
	silentBeats = 3
	maxHold     = 10 * time.Second
	stepTime    = 20 * time.Millisecond
	// startupTime is how long a serving task takes until it is at work.
	startupTime = 300 * time.Millisecond
	// gangTimeout is how long a member of a gang waits for the others.
	gangTimeout = 3 * time.Second
)

// taskRun is one run of a task on a minion.
type taskRun struct {
	task   string
	number int
	began  time.Time
	work   work
	over   bool
	how    string
	end    int64
	acked  bool
}

// work is the spec of the jobs of the cases: what one task does.
type work struct {
	// RunMS is how long a task works until it is done; 0 means that it lasts until it is stopped.
	RunMS int64 `json:"run_ms"`
	// FailMS is how long the first runs of the task work until they fail. Later runs do not fail.
	FailMS []int64 `json:"fail_ms,omitempty"`
	// Gang is the number of tasks that work only together; 0 means that they do not depend on one another.
	Gang int `json:"gang,omitempty"`
	// GPU is what the task takes of its minion, for the record.
	GPU int `json:"gpu,omitempty"`
}

// minion stands in for one minion of the platform. It guards nothing, as with admission_control = false.
type minion struct {
	id, address, service, zone string
	labels                     []string
	store                      *store
	record                     *record

	mu      sync.Mutex
	born    time.Time
	token   int64
	until   time.Duration
	runs    []*taskRun
	highest map[string]int
	lastEnd int64
	changed chan struct{}
	up      bool
	server  *http.Server
	conns   map[net.Conn]bool
	// lastBeat is when the minion last wrote its entry, and sequence counts the entries.
	lastBeat time.Time
	sequence int64
	stopped  chan struct{}
}

func newMinion(id, address, service, zone string, labels []string, store *store, record *record) *minion {
	return &minion{
		id: id, address: address, service: service, zone: zone, labels: labels, store: store, record: record,
		stopped: make(chan struct{}),
	}
}

// start begins a life of the minion: it listens, and registers itself in the store.
func (minion *minion) start() error {
	listener, err := net.Listen("tcp", minion.address)
	if err != nil {
		return err
	}
	minion.mu.Lock()
	defer minion.mu.Unlock()
	minion.address = listener.Addr().String()
	minion.born, minion.token, minion.until, minion.lastEnd = time.Now(), 0, 0, 0
	minion.runs, minion.highest, minion.sequence = nil, map[string]int{}, 0
	minion.changed, minion.up, minion.conns = make(chan struct{}), true, map[net.Conn]bool{}
	minion.lastBeat = time.Time{}
	server := &http.Server{Handler: minion}
	server.ConnState = func(conn net.Conn, state http.ConnState) {
		minion.mu.Lock()
		defer minion.mu.Unlock()
		if minion.server != server {
			return
		}
		if state == http.StateClosed || state == http.StateHijacked {
			delete(minion.conns, conn)
			return
		}
		minion.conns[conn] = true
	}
	minion.server = server
	go func() { _ = server.Serve(listener) }()
	minion.record.write("minion %s is up, born %d", minion.id, minion.born.UnixMilli())
	return nil
}

// crash ends the life of the minion and all that runs there. Its connections end, as those of a process that is killed.
func (minion *minion) crash() {
	minion.mu.Lock()
	running := 0
	for _, run := range minion.runs {
		if !run.over {
			run.over, run.how = true, "crashed"
			running++
		}
	}
	minion.up = false
	server := minion.server
	minion.mu.Unlock()
	minion.record.write("minion %s crashes with %d runs", minion.id, running)
	_ = server.Close()
}

// run writes the entry of the minion each heartbeat, and ends what is due, until the stand-in stops. While the minion is
// down it does what the platform does: it removes the entry after three heartbeats of silence.
func (minion *minion) run() {
	ticker := time.NewTicker(stepTime)
	defer ticker.Stop()
	listed := false
	for {
		minion.mu.Lock()
		var entry map[string]any
		now := time.Now()
		silent := !minion.up && now.Sub(minion.lastBeat) > silentBeats*heartbeat
		if minion.up {
			minion.advance()
			if now.Sub(minion.lastBeat) >= heartbeat {
				minion.lastBeat = now
				entry = minion.entry()
			}
		}
		minion.mu.Unlock()
		switch {
		case entry != nil:
			minion.store.put("servers/"+minion.id, entry)
			listed = true
		case silent && listed:
			minion.store.drop("servers/" + minion.id)
			minion.record.write("the platform removes the entry of minion %s", minion.id)
			listed = false
		}
		select {
		case <-ticker.C:
		case <-minion.stopped:
			return
		}
	}
}

func (minion *minion) clock() time.Duration { return time.Since(minion.born) }

func (minion *minion) entry() map[string]any {
	minion.sequence++
	return map[string]any{
		"service": minion.service, "address": minion.address, "zone": minion.zone, "version": "v1", "slots": 8,
		"state": "ready", "cold_remaining_ms": 0, "sequence": minion.sequence, "labels": minion.labels,
		"capacity": map[string]int{"cpu": 32000, "mem_mb": 131072, "gpu": 8},
		"clock_ms": minion.clock().Milliseconds(), "born": minion.born.UnixMilli(),
	}
}

// advance ends the runs that are done, and all of them once the lease has lapsed.
func (minion *minion) advance() {
	lapsed := minion.clock() > minion.until
	for _, run := range minion.runs {
		switch {
		case run.over:
		case lapsed:
			minion.finish(run, "lapsed")
		case run.number <= len(run.work.FailMS) &&
			time.Since(run.began) >= time.Duration(run.work.FailMS[run.number-1])*time.Millisecond:
			minion.finish(run, "failed")
		case run.work.Gang > 0 && time.Since(run.began) >= gangTimeout:
			// No case lets all members of a gang start.
			minion.finish(run, "alone")
		case run.work.Gang == 0 && run.work.RunMS > 0 && time.Since(run.began) >= time.Duration(run.work.RunMS)*time.Millisecond:
			minion.finish(run, "done")
		}
	}
}

func (minion *minion) finish(run *taskRun, how string) {
	minion.lastEnd++
	run.over, run.how, run.end = true, how, minion.lastEnd
	minion.highest[run.task] = max(minion.highest[run.task], run.number)
	minion.record.write("end of %s run %d on %s: %s", run.task, run.number, minion.id, how)
	minion.record.countEnd(run.task, how)
	close(minion.changed)
	minion.changed = make(chan struct{})
}

type order struct {
	Task     string `json:"task"`
	Run      int    `json:"run"`
	Spec     string `json:"spec"`
	Deadline int64  `json:"deadline_ms"`
	Token    int64  `json:"fencing_token"`
	Cursor   int64  `json:"ack_cursor"`
	Wait     int64  `json:"wait_ms"`
}

// ServeHTTP carries out one order.
func (minion *minion) ServeHTTP(writer http.ResponseWriter, call *http.Request) {
	if call.URL.Path == "/health" {
		writer.Header().Set("Instance-Id", minion.id)
		writer.WriteHeader(http.StatusOK)
		return
	}
	if id := call.Header.Get("Target-Instance"); id != "" && id != minion.id {
		writeJSON(writer, http.StatusMisdirectedRequest, struct{}{})
		return
	}
	var given order
	if json.NewDecoder(call.Body).Decode(&given) != nil {
		writeJSON(writer, http.StatusBadRequest, struct{}{})
		return
	}
	if call.URL.Path == "/hold" && !minion.awaitEnd(call, given) {
		return
	}
	minion.mu.Lock()
	defer minion.mu.Unlock()
	if !minion.up {
		return
	}
	if given.Token < minion.token {
		writeJSON(writer, http.StatusConflict, minion.refusal("fence"))
		return
	}
	minion.take(given)
	status, body := minion.carryOut(call.URL.Path, given)
	writeJSON(writer, status, body)
}

// take takes the token and the lease of an order.
func (minion *minion) take(given order) {
	minion.token = given.Token
	minion.advance()
	until := min(time.Duration(given.Deadline)*time.Millisecond, minion.clock()+maxHold)
	minion.until = max(minion.until, until)
}

// awaitEnd takes the lease of a hold and waits for an end, for as long as the hold asks. It reports false if there is
// nobody to answer to any more.
func (minion *minion) awaitEnd(call *http.Request, given order) bool {
	minion.mu.Lock()
	if given.Token >= minion.token && minion.up {
		minion.take(given)
	}
	changed, open := minion.changed, 0
	for _, run := range minion.runs {
		if run.end > given.Cursor && !run.acked {
			open++
		}
	}
	refused := given.Token < minion.token
	minion.mu.Unlock()
	if refused || open > 0 || given.Wait == 0 {
		return true
	}
	select {
	case <-changed:
	case <-time.After(time.Duration(given.Wait) * time.Millisecond):
	case <-call.Context().Done():
		return false
	}
	return true
}

func (minion *minion) refusal(reason string) map[string]any {
	return map[string]any{"clock_ms": minion.clock().Milliseconds(), "reason": reason}
}

func (minion *minion) carryOut(path string, given order) (int, any) {
	accepted := map[string]any{"clock_ms": minion.clock().Milliseconds()}
	switch path {
	case "/run-start":
		return minion.startRun(given, accepted)
	case "/run-stop":
		minion.highest[given.Task] = max(minion.highest[given.Task], given.Run)
		for _, run := range minion.runs {
			if run.task == given.Task && run.number == given.Run && !run.over {
				minion.finish(run, "stopped")
			}
		}
		return http.StatusOK, accepted
	case "/pace":
		return http.StatusOK, accepted
	case "/hold":
		return http.StatusOK, minion.list(given)
	}
	return http.StatusNotFound, accepted
}

func (minion *minion) startRun(given order, accepted map[string]any) (int, any) {
	for _, run := range minion.runs {
		if run.task == given.Task && run.number == given.Run && !run.over {
			return http.StatusOK, accepted
		}
	}
	if given.Run <= minion.highest[given.Task] {
		return http.StatusConflict, minion.refusal("old")
	}
	if time.Duration(given.Deadline)*time.Millisecond < minion.clock() {
		return http.StatusConflict, minion.refusal("late")
	}
	started := &taskRun{task: given.Task, number: given.Run, began: time.Now()}
	if json.Unmarshal([]byte(given.Spec), &started.work) != nil {
		return http.StatusBadRequest, accepted
	}
	minion.runs = append(minion.runs, started)
	minion.record.write("start of %s run %d on %s, token %d", given.Task, given.Run, minion.id, given.Token)
	minion.record.countStart(given.Task)
	return http.StatusOK, accepted
}

const maxListedEnds = 500

func (minion *minion) list(given order) any {
	running, finished := [][]any{}, [][]any{}
	for _, run := range minion.runs {
		switch {
		case !run.over:
			running = append(running, []any{run.task, run.number, "", run.percent(), 100})
		case run.acked || run.end <= given.Cursor:
			run.acked = true
		default:
			finished = append(finished, []any{run.end, run.task, run.number, run.how, ""})
		}
	}
	sort.Slice(finished, func(a, b int) bool { return finished[a][0].(int64) < finished[b][0].(int64) })
	return map[string]any{
		"clock_ms": minion.clock().Milliseconds(), "born": minion.born.UnixMilli(), "running": running,
		"finished": finished[:min(len(finished), maxListedEnds)],
	}
}

func (run *taskRun) percent() int {
	worked := time.Since(run.began)
	if run.work.RunMS == 0 {
		if worked > startupTime {
			return 100
		}
		return 0
	}
	return int(min(100*worked.Milliseconds()/run.work.RunMS, 99))
}

// running returns the id of the minion on which a task runs, or "" if it runs nowhere.
func running(minions []*minion, task string) string {
	for _, minion := range minions {
		minion.mu.Lock()
		for _, run := range minion.runs {
			if !run.over && run.task == task {
				minion.mu.Unlock()
				return minion.id
			}
		}
		minion.mu.Unlock()
	}
	return ""
}

// spec returns the spec of a job whose tasks do this work.
func (work work) spec() string {
	encoded, err := json.Marshal(work)
	if err != nil {
		panic(err)
	}
	return string(encoded)
}
