package target

import (
	"net/url"
	"sort"
	"sync"
	"time"

	"github.com/quetzalstall/quetzalstall/internal/peer"
	"github.com/quetzalstall/quetzalstall/pkg/fault"
	"github.com/quetzalstall/quetzalstall/pkg/fleet"
)

// grant ends the wait of a request. Exactly one field is set: the backend on which a slot was taken, the peer to which
// the request is forwarded, or the refusal.
type grant struct {
	backend *backend
	peer    *peer.Peer
	refusal *fault.Error
}

// group holds the targets of one service and the requests that wait for slots on these targets.
type group struct {
	service fleet.ServiceName
	router  *Router

	mu       sync.Mutex
	queue    *fairQueue
	backends map[fleet.TargetID]*backend
	// order holds the backends sorted by distance, then by id.
	order []*backend
	// rotation counts the slots that takeSlot has taken. It determines the backend in order at which takeSlot starts
	// its search, so that equally used targets are chosen in turn.
	rotation int
	// longest is the longest request time of the service: the largest run time that a profile of the service allows, or
	// Router.DefaultRequestTime for a profile without a limit. A request must have ended when this time has passed
	// since it was sent.
	longest time.Duration
	// exhausted maps each peer that refused a request to the time until which no request is forwarded to it.
	exhausted map[fleet.VMID]time.Time
}

func newGroup(service fleet.ServiceName, router *Router) *group {
	return &group{
		service:   service,
		router:    router,
		queue:     newFairQueue(router.MaxWaiting),
		backends:  map[fleet.TargetID]*backend{},
		exhausted: map[fleet.VMID]time.Time{},
		longest:   router.DefaultRequestTime,
	}
}

// acquire waits for a slot of this process or for a peer to which the task can be forwarded. A task that a peer
// forwarded does not wait: it is refused if no slot of this process is free.
func (group *group) acquire(task *task) grant {
	if task.isCallerGone() || !time.Now().Before(task.deadline) {
		return grant{refusal: fault.New(fault.DeadlineBeforeStart,
			"the deadline passed or the caller left before the request was sent")}
	}
	if chosen := group.tryTakeSlot(); chosen != nil {
		return grant{backend: chosen}
	}
	if task.forwarded {
		return grant{refusal: fault.New(fault.QueueFull, "no slot of this process is free")}
	}
	// Live must be called without group.mu, because the membership view in router.View calls freeSlots of this group,
	// which locks group.mu.
	live := group.router.View.Live()
	group.mu.Lock()
	if group.queue.total == 0 {
		if given, ok := group.tryGrant(live); ok {
			group.mu.Unlock()
			return given
		}
	}
	waiting := &waiter{task: task, granted: make(chan grant, 1)}
	if refusal := group.enqueue(waiting); refusal != nil {
		group.mu.Unlock()
		return grant{refusal: refusal}
	}
	group.mu.Unlock()
	defer func() { task.wasQueued = true }()
	return group.wait(waiting)
}

// tryTakeSlot takes a free slot of this process. It returns nil if none is free or if other requests wait for one.
func (group *group) tryTakeSlot() *backend {
	group.mu.Lock()
	defer group.mu.Unlock()
	if group.queue.total > 0 {
		return nil
	}
	return group.takeSlot()
}

// tryGrant grants a free slot of this process or, if there is none, a candidate peer. group.mu must be held.
func (group *group) tryGrant(live []peer.Peer) (grant, bool) {
	if chosen := group.takeSlot(); chosen != nil {
		return grant{backend: chosen}, true
	}
	if chosen, ok := group.pickPeer(live); ok {
		return grant{peer: &chosen}, true
	}
	return grant{}, false
}

// enqueue adds a waiter if the limits of its profile and of the service allow it, and returns a refusal otherwise. If
// another waiter is evicted for it, the evicted waiter gets a refusal as its grant. group.mu must be held.
func (group *group) enqueue(waiting *waiter) *fault.Error {
	limits := waiting.task.profile.Limits
	if limits.MaxWaiting > 0 && group.queue.waitingOfProfile(waiting.task) >= limits.MaxWaiting {
		group.router.count("limit.profile_queue")
		return group.queueFull("limit of %d waiting requests of profile %s reached",
			limits.MaxWaiting, waiting.task.profile.Name)
	}
	evicted := group.queue.push(waiting)
	if evicted == nil {
		return nil
	}
	group.router.count("limit.service_queue")
	refusal := group.queueFull("limit of %d waiting requests of service %s reached", group.queue.limit, group.service)
	if evicted == waiting {
		return refusal
	}
	evicted.granted <- grant{refusal: refusal}
	return nil
}

// queueFull returns a refusal whose retry delay is the longest request time, because slots become free within that
// time, but at most 1 s.
func (group *group) queueFull(format string, args ...any) *fault.Error {
	return fault.New(fault.QueueFull, format, args...).WithRetryAfter(min(group.longest, time.Second))
}

// wait returns the grant of a waiter in the queue, or a refusal when its deadline passes or its caller leaves.
func (group *group) wait(waiting *waiter) grant {
	timer := time.NewTimer(time.Until(waiting.task.deadline))
	defer timer.Stop()
	select {
	case given := <-waiting.granted:
		return given
	case <-waiting.task.callerGone:
	case <-timer.C:
	}
	group.mu.Lock()
	if group.queue.remove(waiting) {
		group.mu.Unlock()
		return grant{refusal: fault.New(fault.DeadlineBeforeStart,
			"the deadline passed or the caller left while the request was in the queue")}
	}
	group.mu.Unlock()
	// The waiter has already left the queue because it was granted a slot or a peer or was evicted, so granted holds
	// its grant.
	return <-waiting.granted
}

// takeSlot takes a free slot on the least used target of the nearest data centre that has one. It returns nil if no
// slot is free. group.mu must be held.
func (group *group) takeSlot() *backend {
	now := time.Now()
	var best *backend
	count := len(group.order)
	for i := range count {
		candidate := group.order[(group.rotation+i)%count]
		if candidate.freeSlots(now) == 0 {
			continue
		}
		if best == nil || candidate.distance < best.distance ||
			candidate.distance == best.distance && candidate.used < best.used {
			best = candidate
		}
	}
	if best == nil {
		return nil
	}
	group.rotation++
	best.used++
	return best
}

// release frees a slot and dispatches waiting requests.
func (group *group) release(freed *backend) {
	group.mu.Lock()
	defer group.mu.Unlock()
	freed.used--
	group.dispatch()
}

// releaseAfterRun frees the slot of a run with an unknown result once the run must have ended.
func (group *group) releaseAfterRun(held *backend, sent time.Time) {
	group.router.count("slots.held")
	wait := time.Until(sent.Add(group.longestRequestTime()))
	time.AfterFunc(wait, func() { group.release(held) })
}

// dispatch grants free slots of this process to waiting requests. group.mu must be held.
func (group *group) dispatch() {
	for group.queue.total > 0 {
		chosen := group.takeSlot()
		if chosen == nil {
			return
		}
		group.queue.pop().granted <- grant{backend: chosen}
	}
}

// dispatchToPeers grants free slots to waiting requests: first those of this process, then those that peers report.
func (group *group) dispatchToPeers() {
	if group.dispatchLocal() == 0 {
		return
	}
	live := group.router.View.Live()
	group.mu.Lock()
	defer group.mu.Unlock()
	for range group.freePeerSlots(live) {
		if group.queue.total == 0 {
			return
		}
		chosen, ok := group.pickPeer(live)
		if !ok {
			return
		}
		group.queue.pop().granted <- grant{peer: &chosen}
	}
}

// dispatchLocal calls dispatch and returns the number of requests that still wait.
func (group *group) dispatchLocal() int {
	group.mu.Lock()
	defer group.mu.Unlock()
	group.dispatch()
	return group.queue.total
}

// longestRequestTime returns the longest request time of the service.
func (group *group) longestRequestTime() time.Duration {
	group.mu.Lock()
	defer group.mu.Unlock()
	return group.longest
}

// freeSlots returns the number of slots that peers may use. It is 0 while requests of this process wait, because the
// waiting requests get the next free slots.
func (group *group) freeSlots() int {
	group.mu.Lock()
	defer group.mu.Unlock()
	if group.queue.total > 0 {
		return 0
	}
	now, total := time.Now(), 0
	for _, backend := range group.order {
		total += backend.freeSlots(now)
	}
	return total
}

// refresh updates the backends from the service's targets in the platform's list, the seat of this process and the
// longest request time of the service. It then dispatches waiting requests.
func (group *group) refresh(targets []fleet.Target, own seatSnapshot, longest time.Duration) {
	group.mu.Lock()
	defer group.mu.Unlock()
	group.longest = longest
	// Requests that the previous holder of the seat sent may occupy the seat's slots for the longest request time.
	usable := own.seat != peer.NoSeat && time.Since(own.since) >= longest
	for _, backend := range group.backends {
		backend.listed = false
	}
	for _, target := range targets {
		group.updateBackend(target, own, usable)
	}
	group.removeUnlisted()
	group.expireExhausted()
	group.sortBackends()
	group.dispatch()
}

// updateBackend creates or updates the backend of one target in the platform's list. usable is false while this process
// may not use the slots of its seat.
func (group *group) updateBackend(target fleet.Target, own seatSnapshot, usable bool) {
	known, ok := group.backends[target.ID]
	if !ok || known.target.Address != target.Address {
		known = group.replaceBackend(known, target)
		group.backends[target.ID] = known
	}
	known.target = target
	known.listed = true
	known.leaving = known.leaving || target.Leaving
	known.distance = group.router.distance(target.DataCentre)
	known.share = share{}
	if usable {
		known.share = shareOf(target, group.router.RankSeats(string(target.ID), own.seats), own.seat)
	}
	known.pool.setLimit(known.share.connections)
}

// replaceBackend returns the backend for a new target, or for a target whose address has changed. If the address has
// changed, it closes the connections to the former address. Requests may still run on the target and occupy its slots,
// so the new backend is paused for the longest request time.
func (group *group) replaceBackend(former *backend, target fleet.Target) *backend {
	made := &backend{
		pool: &pool{
			address:  target.Address,
			dial:     group.router.Dial,
			onOpened: func() { group.router.count("connections.opened") },
			onSilent: func() { group.router.count("connections.silent") },
		},
		runURL: &url.URL{Scheme: "http", Host: target.Address, Path: "/run"},
	}
	if former != nil {
		made.pausedUntil = time.Now().Add(group.longest)
		former.pool.close()
	}
	return made
}

// removeUnlisted removes the targets that the platform's list no longer contains and that have no slots in use.
func (group *group) removeUnlisted() {
	for id, backend := range group.backends {
		if !backend.listed && backend.used == 0 {
			backend.pool.close()
			delete(group.backends, id)
		}
	}
}

// expireExhausted removes from exhausted the peers to which requests may be forwarded again.
func (group *group) expireExhausted() {
	now := time.Now()
	for id, until := range group.exhausted {
		if !now.Before(until) {
			delete(group.exhausted, id)
		}
	}
}

func (group *group) sortBackends() {
	group.order = group.order[:0]
	for _, backend := range group.backends {
		group.order = append(group.order, backend)
	}
	sort.Slice(group.order, func(i, j int) bool {
		if group.order[i].distance != group.order[j].distance {
			return group.order[i].distance < group.order[j].distance
		}
		return group.order[i].target.ID < group.order[j].target.ID
	})
}

// recordConnectionFailure pauses a target to which no connection could be opened.
func (group *group) recordConnectionFailure(backend *backend) {
	group.mu.Lock()
	defer group.mu.Unlock()
	backend.pause(time.Now(), group.router.random)
}

// recordResult updates the backend after an attempt on an open connection. If the target announced that it will leave,
// it gets no new requests. If it refused the request, it gets none for refusalBackoff. Otherwise the count of
// connection failures is reset.
func (group *group) recordResult(backend *backend, outcome attemptResult) {
	group.mu.Lock()
	defer group.mu.Unlock()
	switch {
	case outcome.leaving:
		backend.leaving = true
	case outcome.refused:
		backend.pausedUntil = time.Now().Add(refusalBackoff)
	default:
		backend.failures = 0
	}
}

// usableBackends returns the backends that may get requests and therefore need a connection.
func (group *group) usableBackends() []*backend {
	group.mu.Lock()
	defer group.mu.Unlock()
	now := time.Now()
	var result []*backend
	for _, backend := range group.order {
		if backend.share.slots > 0 && backend.listed && !backend.leaving && !now.Before(backend.pausedUntil) {
			result = append(result, backend)
		}
	}
	return result
}
