package target

import (
	"container/list"
	"sync"
	"time"

	"github.com/quetzalstall/quetzalstall/pkg/api/callerv1"
	"github.com/quetzalstall/quetzalstall/pkg/fault"
	"github.com/quetzalstall/quetzalstall/pkg/fleet"
)

const (
	// historyTime is how long the home remembers a request id.
	historyTime = 10 * time.Minute
	// clockSkew bounds the difference between the clocks of callers and VMs.
	clockSkew             = 2 * time.Second
	defaultMaxRecords     = 100_000
	defaultMaxHeldAnswers = 16 << 20
)

// record is what the home knows of one request id.
type record struct {
	key string
	// done is closed when response is set.
	done     chan struct{}
	response *callerv1.CallResponse
	// answerDropped is set when the answer was given up to bound the memory.
	answerDropped bool
	// forgetAt is the time until which no later copy can pass the age rule.
	forgetAt time.Time
	// age and answer are the places in ledger.byAge and ledger.answers; nil when it has none.
	age, answer *list.Element
}

// ledger holds the request ids that this process has seen as home. An id that may have run is never given up
// early: a full ledger refuses new ids instead. Outcomes of idempotent requests are kept apart and are given up
// when there are too many.
type ledger struct {
	maxRecords int
	maxAnswers fleet.Bytes

	mu      sync.Mutex
	records map[string]*record
	// byAge holds the records in order of forgetAt.
	byAge list.List
	// answers holds the records with an answer, oldest first; held is their size.
	answers list.List
	held    fleet.Bytes

	told      map[string]*toldOutcome
	toldByAge list.List
}

// toldOutcome is the outcome of an idempotent request.
type toldOutcome struct {
	key      string
	outcome  callerv1.Outcome
	reason   string
	forgetAt time.Time
}

func newLedger(maxRecords int, maxAnswers fleet.Bytes) *ledger {
	return &ledger{
		maxRecords: maxRecords,
		maxAnswers: maxAnswers,
		records:    map[string]*record{},
		told:       map[string]*toldOutcome{},
	}
}

// begin decides what happens to a request: fresh is true when it may run now, and the caller must call finish.
// Otherwise found is the record of an earlier copy, or refused is the response.
func (ledger *ledger) begin(task *task, seatSince time.Time) (found *record, fresh bool, refused *callerv1.CallResponse) {
	ledger.mu.Lock()
	defer ledger.mu.Unlock()
	now := time.Now()
	if known, ok := ledger.records[task.key]; ok {
		return known, false, nil
	}
	firstSent := time.UnixMilli(task.call.GetFirstSentUnixMs())
	switch {
	case firstSent.After(now.Add(clockSkew)):
		problem := fault.New(fault.InvalidArgument, "is more than %v ahead of the clock", clockSkew).WithField("first_sent_unix_ms")
		return nil, false, unproven(task.call, problem)
	case now.Sub(firstSent) > historyTime:
		return nil, false, unknown(task.call, fault.HistoryLost, "the request id is older than 10 minutes")
	case firstSent.Before(seatSince.Add(clockSkew)):
		return nil, false, unknown(task.call, fault.HistoryLost, "an earlier home of the request id may have run it")
	case len(ledger.records) >= ledger.maxRecords:
		// The id is not held and the history is whole, so no copy has run.
		return nil, false, notRun(task.call, fault.New(fault.QueueFull, "the home holds %d request ids", ledger.maxRecords).
			WithRetryAfter(time.Second))
	}
	// A first submission up to clockSkew ahead of this clock stays within the age rule that much longer.
	added := &record{key: task.key, done: make(chan struct{}), forgetAt: now.Add(historyTime + 2*clockSkew)}
	ledger.records[added.key] = added
	added.age = ledger.byAge.PushBack(added)
	return added, true, nil
}

// finish ends the run of a record. A request that did not run is forgotten, so that a later copy may run.
func (ledger *ledger) finish(ended *record, response *callerv1.CallResponse) {
	ledger.mu.Lock()
	defer ledger.mu.Unlock()
	ended.response = response
	if response.GetOutcome() == callerv1.Outcome_OUTCOME_NOT_RUN {
		ledger.forget(ended)
	} else {
		ledger.hold(ended)
	}
	close(ended.done)
}

// hold bounds the memory of the answers by giving up the oldest ones. It needs the lock.
func (ledger *ledger) hold(ended *record) {
	ended.answer = ledger.answers.PushBack(ended)
	ledger.held += fleet.Bytes(len(ended.response.GetAnswer()))
	for ledger.held > ledger.maxAnswers {
		ledger.drop(ledger.answers.Front().Value.(*record))
	}
}

// drop gives up the answer of a record. It needs the lock.
func (ledger *ledger) drop(oldest *record) {
	ledger.answers.Remove(oldest.answer)
	oldest.answer = nil
	size := fleet.Bytes(len(oldest.response.GetAnswer()))
	if size == 0 {
		return
	}
	ledger.held -= size
	oldest.answerDropped = true
	oldest.response = &callerv1.CallResponse{
		RequestId: oldest.response.GetRequestId(),
		Outcome:   oldest.response.GetOutcome(),
	}
}

// responseTo returns the response to a copy of an ended request.
func (ledger *ledger) responseTo(call *callerv1.CallRequest, ended *record) *callerv1.CallResponse {
	ledger.mu.Lock()
	defer ledger.mu.Unlock()
	if ended.answerDropped {
		return unknown(call, fault.AnswerLost, "the request ran earlier and its answer is no longer held")
	}
	return ended.response
}

// tell keeps the outcome of an idempotent request.
func (ledger *ledger) tell(key string, outcome callerv1.Outcome, reason string) {
	ledger.mu.Lock()
	defer ledger.mu.Unlock()
	if known, ok := ledger.told[key]; ok {
		known.outcome, known.reason = outcome, reason
		return
	}
	added := &toldOutcome{key: key, outcome: outcome, reason: reason, forgetAt: time.Now().Add(historyTime)}
	ledger.told[key] = added
	ledger.toldByAge.PushBack(added)
	if len(ledger.told) > ledger.maxRecords {
		ledger.forgetTold()
	}
}

func (ledger *ledger) forgetTold() {
	oldest := ledger.toldByAge.Remove(ledger.toldByAge.Front()).(*toldOutcome)
	delete(ledger.told, oldest.key)
}

// status tells what is known of a request id.
func (ledger *ledger) status(key string) *callerv1.StatusResponse {
	ledger.mu.Lock()
	defer ledger.mu.Unlock()
	if known, ok := ledger.records[key]; ok {
		if known.response == nil {
			return &callerv1.StatusResponse{Outcome: callerv1.Outcome_OUTCOME_PENDING, Attempts: 1}
		}
		return &callerv1.StatusResponse{
			Outcome:  known.response.GetOutcome(),
			Reason:   known.response.GetReason(),
			Answer:   known.response.GetAnswer(),
			Attempts: 1,
		}
	}
	if known, ok := ledger.told[key]; ok {
		return &callerv1.StatusResponse{Outcome: known.outcome, Reason: known.reason}
	}
	return unknownStatus("the home of this request id has not heard of it; outcomes arrive there within a second")
}

func unknownStatus(reason string) *callerv1.StatusResponse {
	return &callerv1.StatusResponse{Outcome: callerv1.Outcome_OUTCOME_UNKNOWN, Reason: reason}
}

// expire forgets the ids that are too old to run.
func (ledger *ledger) expire(now time.Time) {
	ledger.mu.Lock()
	defer ledger.mu.Unlock()
	for front := ledger.byAge.Front(); front != nil; front = ledger.byAge.Front() {
		oldest := front.Value.(*record)
		if now.Before(oldest.forgetAt) || oldest.response == nil {
			break
		}
		ledger.forget(oldest)
	}
	for front := ledger.toldByAge.Front(); front != nil; front = ledger.toldByAge.Front() {
		if now.Before(front.Value.(*toldOutcome).forgetAt) {
			break
		}
		ledger.forgetTold()
	}
}

// forget gives up a record and its answer. It needs the lock.
func (ledger *ledger) forget(ended *record) {
	delete(ledger.records, ended.key)
	ledger.byAge.Remove(ended.age)
	if ended.answer != nil {
		ledger.drop(ended)
	}
}

// size returns the held ids, and the size of the held answers.
func (ledger *ledger) size() (records, told int, held fleet.Bytes) {
	ledger.mu.Lock()
	defer ledger.mu.Unlock()
	return len(ledger.records), len(ledger.told), ledger.held
}
