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

// grant is what a request waits for: a slot of the own seat, leave to ask a peer, or a refusal.
type grant struct {
	backend *backend
	peer    *peer.Peer
	refusal *fault.Error
}

// group holds the targets of one service and the requests that wait for them.
type group struct {
	service fleet.ServiceName
	router  *Router

	mu       sync.Mutex
	queue    *fairQueue
	backends map[fleet.TargetID]*backend
	// order holds the backends by distance, then by id.
	order []*backend
	// start rotates over equally used targets.
	start int
	// longest is the longest request time of the service.
	longest time.Duration
	// exhausted holds the peers that refused, until when they are not asked.
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

// acquire waits for a slot, or for leave to ask a peer.
func (group *group) acquire(task *task) grant {
	if task.isGone() || !time.Now().Before(task.deadline) {
		return grant{refusal: fault.New(fault.DeadlineBeforeStart, "the deadline passed or the caller left before the request was sent")}
	}
	if chosen := group.takeFree(); chosen != nil {
		return grant{backend: chosen}
	}
	if task.forwarded {
		return grant{refusal: fault.New(fault.QueueFull, "no slot of this process is free")}
	}
	// The view asks this group for its free slots, so it is read without the lock.
	live := group.router.View.Live()
	group.mu.Lock()
	if group.queue.total == 0 {
		if given, ok := group.grantNow(live); ok {
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
	defer func() { task.waited = true }()
	return group.wait(waiting)
}

// takeFree takes a free slot unless other requests wait for one.
func (group *group) takeFree() *backend {
	group.mu.Lock()
	defer group.mu.Unlock()
	if group.queue.total > 0 {
		return nil
	}
	return group.pick()
}

// grantNow needs the lock.
func (group *group) grantNow(live []peer.Peer) (grant, bool) {
	if chosen := group.pick(); chosen != nil {
		return grant{backend: chosen}, true
	}
	if chosen, ok := group.pickPeer(live); ok {
		return grant{peer: &chosen}, true
	}
	return grant{}, false
}

// enqueue adds a waiter within the bounds of its profile and of the group. It needs the lock.
func (group *group) enqueue(waiting *waiter) *fault.Error {
	limits := waiting.task.profile.Limits
	if limits.MaxWaiting > 0 && group.queue.waitingOf(waiting.task) >= limits.MaxWaiting {
		group.router.count("limit.profile_queue")
		return group.full("bound of %d waiting requests of profile %s reached", limits.MaxWaiting, waiting.task.profile.Name)
	}
	evicted := group.queue.push(waiting)
	if evicted == nil {
		return nil
	}
	group.router.count("limit.service_queue")
	refusal := group.full("bound of %d waiting requests of service %s reached", group.queue.limit, group.service)
	if evicted == waiting {
		return refusal
	}
	evicted.granted <- grant{refusal: refusal}
	return nil
}

// full returns a refusal with the time that the waiting requests need at the longest.
func (group *group) full(format string, args ...any) *fault.Error {
	return fault.New(fault.QueueFull, format, args...).WithRetryAfter(min(group.longest, time.Second))
}

func (group *group) wait(waiting *waiter) grant {
	timer := time.NewTimer(time.Until(waiting.task.deadline))
	defer timer.Stop()
	select {
	case given := <-waiting.granted:
		return given
	case <-waiting.task.gone:
	case <-timer.C:
	}
	group.mu.Lock()
	if group.queue.remove(waiting) {
		group.mu.Unlock()
		return grant{refusal: fault.New(fault.DeadlineBeforeStart, "the deadline passed or the caller left in the queue")}
	}
	group.mu.Unlock()
	// It was granted or evicted in the meantime.
	return <-waiting.granted
}

// pick takes a free slot in the nearest data centre that has one, on the least used target. It needs the lock.
func (group *group) pick() *backend {
	now := time.Now()
	var best *backend
	count := len(group.order)
	for i := range count {
		candidate := group.order[(group.start+i)%count]
		if candidate.free(now) == 0 {
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
	group.start++
	best.used++
	return best
}

// release frees a slot and serves the queue.
func (group *group) release(freed *backend) {
	group.mu.Lock()
	defer group.mu.Unlock()
	freed.used--
	group.dispatch()
}

// hold frees a slot when its run must have ended.
func (group *group) hold(held *backend, sent time.Time) {
	group.router.count("slots.held")
	wait := time.Until(sent.Add(group.longestTime()))
	time.AfterFunc(wait, func() { group.release(held) })
}

// dispatch serves the queue with slots of the own seat. It needs the lock.
func (group *group) dispatch() {
	for group.queue.total > 0 {
		chosen := group.pick()
		if chosen == nil {
			return
		}
		group.queue.pop().granted <- grant{backend: chosen}
	}
}

// dispatchToPeers serves the queue with the slots that peers report free.
func (group *group) dispatchToPeers() {
	if group.serveQueue() == 0 {
		return
	}
	live := group.router.View.Live()
	group.mu.Lock()
	defer group.mu.Unlock()
	for range group.freeAtPeers(live) {
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

// serveQueue dispatches and returns the requests that still wait.
func (group *group) serveQueue() int {
	group.mu.Lock()
	defer group.mu.Unlock()
	group.dispatch()
	return group.queue.total
}

func (group *group) longestTime() time.Duration {
	group.mu.Lock()
	defer group.mu.Unlock()
	return group.longest
}

// freeSlots returns the slots that a peer may use: none while own requests wait.
func (group *group) freeSlots() int {
	group.mu.Lock()
	defer group.mu.Unlock()
	if group.queue.total > 0 {
		return 0
	}
	now, total := time.Now(), 0
	for _, backend := range group.order {
		total += backend.free(now)
	}
	return total
}

// refresh takes over the inventory and the own seat.
func (group *group) refresh(targets []fleet.Target, own seatUse, longest time.Duration) {
	group.mu.Lock()
	defer group.mu.Unlock()
	group.longest = longest
	usable := own.seat != peer.NoSeat && time.Since(own.since) >= longest
	for _, backend := range group.backends {
		backend.listed = false
	}
	for _, target := range targets {
		group.update(target, own, usable)
	}
	group.forget()
	group.forgetExhausted()
	group.sortBackends()
	group.dispatch()
}

func (group *group) update(target fleet.Target, own seatUse, usable bool) {
	known, ok := group.backends[target.ID]
	if !ok || known.target.Address != target.Address {
		known = group.replace(known, target)
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

// replace makes a backend for a target with a new address. Slots in use stay with the former one, which ends by
// itself, so the new one starts paused until they must be free.
func (group *group) replace(former *backend, target fleet.Target) *backend {
	made := &backend{
		pool: &pool{
			address: target.Address,
			dial:    group.router.Dial,
			opened:  func() { group.router.count("connections.opened") },
			silent:  func() { group.router.count("connections.silent") },
		},
		to: &url.URL{Scheme: "http", Host: target.Address, Path: "/run"},
	}
	if former != nil {
		made.pausedUntil = time.Now().Add(group.longest)
		former.pool.close()
	}
	return made
}

// forget drops targets that are listed no longer and carry nothing.
func (group *group) forget() {
	for id, backend := range group.backends {
		if !backend.listed && backend.used == 0 {
			backend.pool.close()
			delete(group.backends, id)
		}
	}
}

// forgetExhausted drops the marks of peers that may be asked again.
func (group *group) forgetExhausted() {
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

// failed notes that no connection could be had to a target.
func (group *group) failed(backend *backend) {
	group.mu.Lock()
	defer group.mu.Unlock()
	backend.pause(time.Now(), group.router.random)
}

// answered notes what a target said about itself.
func (group *group) answered(backend *backend, outcome result) {
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

// idle returns the backends whose connections need attention.
func (group *group) idle() []*backend {
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
