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
	// historyRetention is the time for which the home of a request id (see homeOf) keeps the id. The home rejects a
	// copy of the request that was first sent longer ago.
	historyRetention = 10 * time.Minute
	// maxClockSkew is the largest difference between the clocks of callers and VMs that the home allows for.
	maxClockSkew          = 2 * time.Second
	defaultMaxRecords     = 100_000
	defaultMaxHeldAnswers = 16 << 20
)

// record is the state of one request id at its home.
type record struct {
	key string
	// task is the request in progress; nil once it has ended.
	task *task
	// done is closed when response is set.
	done     chan struct{}
	response *callerv1.CallResponse
	// answerDropped is set when the answer is no longer held. The total size of the held answers is limited to
	// ledger.maxAnswers.
	answerDropped bool
	// expiresAt is the time from which begin rejects every copy of the request as too old, so that the record is no
	// longer needed.
	expiresAt time.Time
	// ageElement and answerElement are the elements of the record in ledger.byAge and ledger.answers; nil if it is not
	// in the list.
	ageElement, answerElement *list.Element
}

// ledger is the history of the request ids whose home is this process. The id of a request that may have run is never
// dropped early: a full ledger refuses new ids instead. Outcomes of idempotent requests are held separately; the oldest
// are dropped when there are more than maxRecords.
type ledger struct {
	maxRecords int
	maxAnswers fleet.Bytes

	mu      sync.Mutex
	records map[string]*record
	// byAge holds the records in order of expiresAt.
	byAge list.List
	// answers holds the records whose answer is kept, in the order in which the requests ended. heldBytes is the total
	// size of these answers.
	answers   list.List
	heldBytes fleet.Bytes

	// outcomes holds the outcomes of idempotent requests by key, outcomesByAge holds them in order of expiresAt.
	outcomes      map[string]*storedOutcome
	outcomesByAge list.List
}

// storedOutcome is the outcome of an idempotent request, which the home keeps until expiresAt to answer status queries.
type storedOutcome struct {
	key       string
	outcome   callerv1.Outcome
	reason    string
	expiresAt time.Time
}

func newLedger(maxRecords int, maxAnswers fleet.Bytes) *ledger {
	return &ledger{
		maxRecords: maxRecords,
		maxAnswers: maxAnswers,
		records:    map[string]*record{},
		outcomes:   map[string]*storedOutcome{},
	}
}

// begin decides whether a request may run, and adds a record of its id if so. In that case fresh is true, found is the
// new record, and finish must be called after the run. Otherwise found is the record of an earlier copy, or refused is
// the response. seatSince is the time at which this process claimed its seat.
func (ledger *ledger) begin(task *task, seatSince time.Time) (
	found *record, fresh bool, refused *callerv1.CallResponse,
) {
	ledger.mu.Lock()
	defer ledger.mu.Unlock()
	now := time.Now()
	if known, ok := ledger.records[task.key]; ok {
		return known, false, nil
	}
	firstSent := time.UnixMilli(task.call.GetFirstSentUnixMs())
	switch {
	case firstSent.After(now.Add(maxClockSkew)):
		problem := fault.New(fault.InvalidArgument, "is more than %v ahead of the clock", maxClockSkew).
			WithField("first_sent_unix_ms")
		return nil, false, uncheckedRefusal(task.call, problem)
	case now.Sub(firstSent) > historyRetention:
		return nil, false, unknownResponse(task.call, fault.HistoryLost, "the request id is older than 10 minutes")
	case firstSent.Before(seatSince.Add(maxClockSkew)):
		return nil, false, unknownResponse(task.call, fault.HistoryLost,
			"an earlier home of the request id may have run it")
	case len(ledger.records) >= ledger.maxRecords:
		// The id is not held, and this process has been its home since before the first submission, so no copy has run.
		return nil, false, notRunResponse(task.call,
			fault.New(fault.QueueFull, "the home holds %d request ids", ledger.maxRecords).WithRetryAfter(time.Second))
	}
	// The time of the first submission can be up to maxClockSkew ahead of this clock. Copies then pass the age check
	// above for up to maxClockSkew longer.
	added := &record{key: task.key, task: task, done: make(chan struct{}), expiresAt: now.Add(historyRetention + 2*maxClockSkew)}
	ledger.records[added.key] = added
	added.ageElement = ledger.byAge.PushBack(added)
	return added, true, nil
}

// finish stores the response to a request after its run. The record of a request that did not run is removed, so that
// a later copy may run.
func (ledger *ledger) finish(ended *record, response *callerv1.CallResponse) {
	ledger.mu.Lock()
	defer ledger.mu.Unlock()
	ended.response, ended.task = response, nil
	if response.GetOutcome() == callerv1.Outcome_OUTCOME_NOT_RUN {
		ledger.remove(ended)
	} else {
		ledger.holdAnswer(ended)
	}
	close(ended.done)
}

// holdAnswer adds the answer of a record, and drops the oldest answers while their total size exceeds maxAnswers.
// ledger.mu must be held.
func (ledger *ledger) holdAnswer(ended *record) {
	ended.answerElement = ledger.answers.PushBack(ended)
	ledger.heldBytes += fleet.Bytes(len(ended.response.GetAnswer()))
	for ledger.heldBytes > ledger.maxAnswers {
		ledger.dropAnswer(ledger.answers.Front().Value.(*record))
	}
}

// dropAnswer drops the answer of a record and keeps its outcome. ledger.mu must be held.
func (ledger *ledger) dropAnswer(oldest *record) {
	ledger.answers.Remove(oldest.answerElement)
	oldest.answerElement = nil
	size := fleet.Bytes(len(oldest.response.GetAnswer()))
	if size == 0 {
		return
	}
	ledger.heldBytes -= size
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
		return unknownResponse(call, fault.AnswerLost, "the request ran earlier and its answer is no longer held")
	}
	return ended.response
}

// storeOutcome stores the outcome of an idempotent request.
func (ledger *ledger) storeOutcome(key string, outcome callerv1.Outcome, reason string) {
	ledger.mu.Lock()
	defer ledger.mu.Unlock()
	if known, ok := ledger.outcomes[key]; ok {
		known.outcome, known.reason = outcome, reason
		return
	}
	added := &storedOutcome{key: key, outcome: outcome, reason: reason, expiresAt: time.Now().Add(historyRetention)}
	ledger.outcomes[key] = added
	ledger.outcomesByAge.PushBack(added)
	if len(ledger.outcomes) > ledger.maxRecords {
		ledger.removeOldestOutcome()
	}
}

// removeOldestOutcome removes the oldest outcome of an idempotent request. ledger.mu must be held.
func (ledger *ledger) removeOldestOutcome() {
	oldest := ledger.outcomesByAge.Remove(ledger.outcomesByAge.Front()).(*storedOutcome)
	delete(ledger.outcomes, oldest.key)
}

// status returns the status of a request id.
func (ledger *ledger) status(key string) *callerv1.StatusResponse {
	ledger.mu.Lock()
	defer ledger.mu.Unlock()
	if known, ok := ledger.records[key]; ok {
		if known.response == nil {
			return &callerv1.StatusResponse{Outcome: callerv1.Outcome_OUTCOME_PENDING, Attempts: known.task.attempts()}
		}
		return &callerv1.StatusResponse{
			Outcome:  known.response.GetOutcome(),
			Reason:   known.response.GetReason(),
			Answer:   known.response.GetAnswer(),
			Attempts: 1,
		}
	}
	if known, ok := ledger.outcomes[key]; ok {
		return &callerv1.StatusResponse{Outcome: known.outcome, Reason: known.reason}
	}
	return unknownStatus("the home of this request id has no record of it; outcomes arrive there within a second")
}

func unknownStatus(reason string) *callerv1.StatusResponse {
	return &callerv1.StatusResponse{Outcome: callerv1.Outcome_OUTCOME_UNKNOWN, Reason: reason}
}

// expire removes expired outcomes and, oldest first, expired records. It keeps a record whose request still runs, and
// all newer records, until a later call.
func (ledger *ledger) expire(now time.Time) {
	ledger.mu.Lock()
	defer ledger.mu.Unlock()
	for front := ledger.byAge.Front(); front != nil; front = ledger.byAge.Front() {
		oldest := front.Value.(*record)
		if now.Before(oldest.expiresAt) || oldest.response == nil {
			break
		}
		ledger.remove(oldest)
	}
	for front := ledger.outcomesByAge.Front(); front != nil; front = ledger.outcomesByAge.Front() {
		if now.Before(front.Value.(*storedOutcome).expiresAt) {
			break
		}
		ledger.removeOldestOutcome()
	}
}

// remove deletes a record and its answer. ledger.mu must be held.
func (ledger *ledger) remove(ended *record) {
	delete(ledger.records, ended.key)
	ledger.byAge.Remove(ended.ageElement)
	if ended.answerElement != nil {
		ledger.dropAnswer(ended)
	}
}

// size returns the numbers of held request ids and of held outcomes, and the total size of the held answers.
func (ledger *ledger) size() (records, outcomes int, answers fleet.Bytes) {
	ledger.mu.Lock()
	defer ledger.mu.Unlock()
	return len(ledger.records), len(ledger.outcomes), ledger.heldBytes
}
