// Package target sends requests to the targets of services. A slot is the right to run one request on a target at a
// time. The slots and connections of each target are divided between a fixed number of seats, and the process that
// holds a seat owns the seat's slots and connections. The package routes short requests to slots that this process owns
// or to peers, the other entry processes, and returns the outcome of each request. The answer to a request is the body
// of the target's response.
package target

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"

	"github.com/quetzalstall/quetzalstall/internal/caller"
	"github.com/quetzalstall/quetzalstall/internal/peer"
	"github.com/quetzalstall/quetzalstall/pkg/api/callerv1"
	"github.com/quetzalstall/quetzalstall/pkg/fault"
	"github.com/quetzalstall/quetzalstall/pkg/fleet"
	"github.com/quetzalstall/quetzalstall/pkg/profile"
)

const (
	defaultMaxWaiting  = 1024
	defaultRequestTime = 30 * time.Second
	defaultMaxAnswer   = 16 << 20
	dispatchInterval   = 50 * time.Millisecond
	// A target must get no new requests from 3 s after it is listed as leaving. The list is read several times within
	// these 3 s.
	refreshInterval = 250 * time.Millisecond
	flushInterval   = 200 * time.Millisecond
)

var _ caller.Calls = (*Router)(nil)

// Router runs requests on targets. Its exported fields must be set before Run is called.
type Router struct {
	View    peer.View
	Configs caller.Configs
	// Targets returns the targets of the platform's list.
	Targets func() []fleet.Target
	// DataCentre is the data centre of this process. Targets in it are preferred.
	DataCentre fleet.DataCentreID
	// Distance returns the distance of a data centre, 0 for the nearest; nil puts DataCentre before all others.
	Distance func(fleet.DataCentreID) int
	// RankSeats orders the seats for a key; nil uses peer.RankSeats. Every process must use the same function, because
	// all must agree on the owner of each slot and on the home of each request id (see homeOf).
	RankSeats func(key string, seats int) []peer.Seat
	// Dial opens connections to targets; nil uses net.Dialer.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Seed makes the random choices of peers and the jitter repeatable.
	Seed uint64
	// MaxWaiting limits the number of waiting requests of each service.
	MaxWaiting int
	// DefaultRequestTime is the longest request time of a profile that sets none.
	DefaultRequestTime time.Duration
	// MaxAnswer limits the size of an answer.
	MaxAnswer fleet.Bytes
	// MaxRecords limits the number of request ids that this process holds as their home (see homeOf). MaxHeldAnswers
	// limits the total size of the answers to these requests.
	MaxRecords     int
	MaxHeldAnswers fleet.Bytes
	Logger         hclog.Logger
	Metrics        metrics.Registry

	once     sync.Once
	random   *random
	budget   retryBudget
	ledger   *ledger
	outcomes outcomeBuffer
	// lastConfig is the configuration in force at the last request. The first request after a change of the
	// configuration triggers a refresh.
	lastConfig atomic.Pointer[profile.Config]

	groupMu sync.Mutex
	groups  map[fleet.ServiceName]*group

	closeMu  sync.Mutex
	closed   bool
	inFlight sync.WaitGroup
}

// seatSnapshot holds the seat of this process at one point in time, the time at which the process claimed the seat, and
// the total number of seats.
type seatSnapshot struct {
	seat  peer.Seat
	since time.Time
	seats int
}

func (router *Router) init() {
	router.once.Do(func() {
		setDefault(&router.MaxWaiting, defaultMaxWaiting)
		setDefault(&router.DefaultRequestTime, defaultRequestTime)
		setDefault(&router.MaxAnswer, defaultMaxAnswer)
		setDefault(&router.MaxRecords, defaultMaxRecords)
		setDefault(&router.MaxHeldAnswers, defaultMaxHeldAnswers)
		if router.RankSeats == nil {
			router.RankSeats = peer.RankSeats
		}
		if router.Dial == nil {
			router.Dial = (&net.Dialer{}).DialContext
		}
		if router.Logger == nil {
			router.Logger = hclog.NewNullLogger()
		}
		if router.Metrics == nil {
			router.Metrics = metrics.NewRegistry()
		}
		router.random = newRandom(router.Seed)
		router.ledger = newLedger(router.MaxRecords, router.MaxHeldAnswers)
		router.groups = map[fleet.ServiceName]*group{}
		router.refresh()
	})
}

func setDefault[T int | time.Duration | fleet.Bytes](field *T, value T) {
	if *field == 0 {
		*field = value
	}
}

// Run refreshes the targets, maintains their connections and dispatches waiting requests until ctx ends.
func (router *Router) Run(ctx context.Context) error {
	router.init()
	loops, ctx := errgroup.WithContext(ctx)
	loops.Go(func() error { return every(ctx, dispatchInterval, router.dispatch) })
	loops.Go(func() error { return every(ctx, refreshInterval, func() { router.maintain(ctx) }) })
	loops.Go(func() error { return every(ctx, flushInterval, func() { router.flushOutcomes(ctx) }) })
	return loops.Wait()
}

// every calls step at the given interval until ctx ends.
func every(ctx context.Context, interval time.Duration, step func()) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			step()
		}
	}
}

func (router *Router) dispatch() {
	for _, group := range router.allGroups() {
		group.dispatchToPeers()
	}
}

func (router *Router) maintain(ctx context.Context) {
	router.refresh()
	router.keepConnections(ctx)
	router.ledger.expire(time.Now())
}

// Close refuses new requests and waits until all requests in flight have ended. Run must continue until Close returns,
// because it dispatches the requests that still wait for a slot.
func (router *Router) Close() error {
	router.init()
	router.closeMu.Lock()
	router.closed = true
	router.closeMu.Unlock()
	router.inFlight.Wait()
	router.flushOutcomes(context.Background())
	for _, group := range router.allGroups() {
		group.closePools()
	}
	return nil
}

// Call runs a request on one target and returns its outcome.
func (router *Router) Call(
	ctx context.Context, id fleet.OrganisationID, call *callerv1.CallRequest,
) *callerv1.CallResponse {
	router.init()
	task, problem := router.admit(ctx, id, call)
	if problem != nil {
		router.countRefusal(problem.Kind)
		return uncheckedRefusal(call, problem)
	}
	task.callerErr = ctx.Err
	if !router.trackInFlight() {
		router.countRefusal(fault.Draining)
		return uncheckedRefusal(call, fault.New(fault.Draining, "the process is stopping"))
	}
	go router.runToEnd(task, router.runForCaller)
	return router.await(ctx, task)
}

// runForCaller runs a request that a caller, not a peer, sent to this process.
func (router *Router) runForCaller(task *task) *callerv1.CallResponse {
	if task.idempotent() {
		return router.runWithoutHome(task)
	}
	return router.runViaHome(task)
}

// admit checks a request against the configuration in force and returns the task that represents the request.
func (router *Router) admit(ctx context.Context, id fleet.OrganisationID, call *callerv1.CallRequest) (
	*task, *fault.Error,
) {
	config := router.Configs.Current()
	if config == nil {
		return nil, fault.New(fault.Starting, "there is no configuration yet")
	}
	if router.lastConfig.Swap(config) != config {
		router.refresh()
	}
	used, ok := config.Lookup(id, fleet.ProfileName(call.GetProfile()))
	if !ok || used.IsJob() {
		return nil, fault.New(fault.UnknownProfile, "no profile %q for requests", call.GetProfile()).
			WithField("profile")
	}
	if !used.Idempotent && call.GetFirstSentUnixMs() <= 0 {
		return nil, fault.New(fault.InvalidArgument,
			"a profile that is not idempotent needs the time of the first submission").
			WithField("first_sent_unix_ms")
	}
	return newTask(id, call, used, router.deadlineOf(ctx, used)), nil
}

// deadlineOf returns the deadline of ctx, or the current time plus the longest request time of the profile if that is
// earlier.
func (router *Router) deadlineOf(ctx context.Context, used *profile.Profile) time.Time {
	latest := time.Now().Add(router.requestTimeOf(used))
	if deadline, ok := ctx.Deadline(); ok && deadline.Before(latest) {
		return deadline
	}
	return latest
}

// requestTimeOf returns the longest request time of a profile.
func (router *Router) requestTimeOf(used *profile.Profile) time.Duration {
	if used.Limits.MaxRunTime > 0 {
		return time.Duration(used.Limits.MaxRunTime)
	}
	return router.DefaultRequestTime
}

// trackInFlight makes Close wait for a request, or for the maintenance of a connection pool, until inFlight.Done is
// called. It returns false if the router is closed.
func (router *Router) trackInFlight() bool {
	router.closeMu.Lock()
	defer router.closeMu.Unlock()
	if router.closed {
		return false
	}
	router.inFlight.Add(1)
	return true
}

// runToEnd runs a task until it has ended, even if its caller no longer waits.
func (router *Router) runToEnd(task *task, run func(*task) *callerv1.CallResponse) {
	defer router.inFlight.Done()
	task.response = run(task)
	if kind := fault.Kind(task.response.GetKind()); kind != "" {
		router.countRefusal(kind)
	}
	close(task.done)
}

// await waits until a task has ended or ctx ends, and returns the response. If ctx ends first, the outcome is "not run"
// if the request has not run and will not run, and "unknown" otherwise.
func (router *Router) await(ctx context.Context, task *task) *callerv1.CallResponse {
	select {
	case <-task.done:
		return task.response
	case <-ctx.Done():
	}
	if task.abandon() {
		return notRunResponse(task.call, fault.New(fault.DeadlineBeforeStart,
			"the deadline passed or the caller left before the request was sent"))
	}
	select {
	case <-task.done:
		return task.response
	default:
		return unknownResponse(task.call, fault.AnswerLost,
			"the deadline passed or the caller left after the request was sent")
	}
}

// refresh updates all groups from the platform's current list of targets, the seat of this process and the
// configuration in force.
func (router *Router) refresh() {
	own := seatSnapshot{seat: peer.NoSeat, seats: router.View.Seats()}
	if seat, since, ok := router.View.OwnSeat(); ok {
		own.seat, own.since = seat, since
	}
	byService := map[fleet.ServiceName][]fleet.Target{}
	for _, target := range router.Targets() {
		byService[target.Service] = append(byService[target.Service], target)
	}
	for service := range byService {
		router.groupOf(service)
	}
	longest := router.longestRequestTimes()
	for _, group := range router.allGroups() {
		limit, ok := longest[group.service]
		if !ok {
			limit = router.DefaultRequestTime
		}
		group.refresh(byService[group.service], own, limit)
	}
}

// longestRequestTimes returns the longest request time of each service over all profiles.
func (router *Router) longestRequestTimes() map[fleet.ServiceName]time.Duration {
	result := map[fleet.ServiceName]time.Duration{}
	config := router.Configs.Current()
	if config == nil {
		return result
	}
	for _, organisation := range config.Organisations {
		for i := range organisation.Profiles {
			used := &organisation.Profiles[i]
			if !used.IsJob() {
				result[used.Service] = max(result[used.Service], router.requestTimeOf(used))
			}
		}
	}
	return result
}

func (router *Router) distance(centre fleet.DataCentreID) int {
	switch {
	case router.Distance != nil:
		return router.Distance(centre)
	case centre == router.DataCentre:
		return 0
	}
	return 1
}

func (router *Router) groupOf(service fleet.ServiceName) *group {
	router.groupMu.Lock()
	defer router.groupMu.Unlock()
	found, ok := router.groups[service]
	if !ok {
		found = newGroup(service, router)
		router.groups[service] = found
	}
	return found
}

func (router *Router) allGroups() []*group {
	router.groupMu.Lock()
	defer router.groupMu.Unlock()
	result := make([]*group, 0, len(router.groups))
	for _, group := range router.groups {
		result = append(result, group)
	}
	return result
}

// FreeSlots returns the number of slots of each service that peers may use.
func (router *Router) FreeSlots() map[fleet.ServiceName]int {
	router.init()
	free := map[fleet.ServiceName]int{}
	for _, group := range router.allGroups() {
		free[group.service] = group.freeSlots()
	}
	return free
}
