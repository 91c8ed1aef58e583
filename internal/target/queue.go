package target

import (
	"container/list"

	"github.com/quetzalstall/quetzalstall/pkg/fleet"
)

// fairQueue holds waiting requests. It serves organisations in turn, and callers in turn within one, so that
// a large caller delays a small one by at most one request per turn.
type fairQueue struct {
	// limit bounds total.
	limit         int
	total         int
	organisations map[fleet.OrganisationID]*organisationQueue
	// turn holds the organisations with waiting requests; the front is served next.
	turn list.List
	// profiles counts the waiting requests of each profile.
	profiles map[profileKey]int
}

type profileKey struct {
	organisation fleet.OrganisationID
	profile      fleet.ProfileName
}

type organisationQueue struct {
	id      fleet.OrganisationID
	waiting int
	callers map[fleet.CallerID]*callerQueue
	// turn holds the callers with waiting requests; the front is served next.
	turn  list.List
	place *list.Element
}

type callerQueue struct {
	id fleet.CallerID
	// waiters are in order of arrival.
	waiters list.List
	place   *list.Element
}

// waiter is one waiting request.
type waiter struct {
	task *task
	// granted receives exactly one grant, unless the waiter leaves the queue first.
	granted chan grant
	place   *list.Element
}

func newFairQueue(limit int) *fairQueue {
	return &fairQueue{
		limit:         limit,
		organisations: map[fleet.OrganisationID]*organisationQueue{},
		profiles:      map[profileKey]int{},
	}
}

// push adds a waiter. When the queue is full it returns the waiter that must go: the newest of the largest
// caller, or the new one itself.
func (queue *fairQueue) push(added *waiter) (evicted *waiter) {
	queue.insert(added)
	if queue.total <= queue.limit {
		return nil
	}
	evicted = queue.newestOfLargest(added)
	queue.remove(evicted)
	return evicted
}

// waitingOf returns the waiting requests of a task's profile.
func (queue *fairQueue) waitingOf(task *task) int {
	return queue.profiles[profileKey{task.organisation, task.profile.Name}]
}

func (queue *fairQueue) insert(added *waiter) {
	organisation, ok := queue.organisations[added.task.organisation]
	if !ok {
		organisation = &organisationQueue{id: added.task.organisation, callers: map[fleet.CallerID]*callerQueue{}}
		organisation.place = queue.turn.PushBack(organisation)
		queue.organisations[organisation.id] = organisation
	}
	caller, ok := organisation.callers[added.task.caller]
	if !ok {
		caller = &callerQueue{id: added.task.caller}
		caller.place = organisation.turn.PushBack(caller)
		organisation.callers[caller.id] = caller
	}
	if added.task.waited {
		// A peer refused it after its turn had come; it keeps its place before those that came later.
		added.place = caller.waiters.PushFront(added)
		organisation.turn.MoveToFront(caller.place)
		queue.turn.MoveToFront(organisation.place)
	} else {
		added.place = caller.waiters.PushBack(added)
	}
	organisation.waiting++
	queue.profiles[profileKey{added.task.organisation, added.task.profile.Name}]++
	queue.total++
}

func (queue *fairQueue) newestOfLargest(added *waiter) *waiter {
	organisation := queue.organisations[added.task.organisation]
	for element := queue.turn.Front(); element != nil; element = element.Next() {
		if other := element.Value.(*organisationQueue); other.waiting > organisation.waiting {
			organisation = other
		}
	}
	caller, ok := organisation.callers[added.task.caller]
	if organisation.id != added.task.organisation || !ok {
		caller = organisation.turn.Front().Value.(*callerQueue)
	}
	for element := organisation.turn.Front(); element != nil; element = element.Next() {
		if other := element.Value.(*callerQueue); other.waiters.Len() > caller.waiters.Len() {
			caller = other
		}
	}
	return caller.waiters.Back().Value.(*waiter)
}

// pop removes and returns the next waiter, or nil.
func (queue *fairQueue) pop() *waiter {
	front := queue.turn.Front()
	if front == nil {
		return nil
	}
	organisation := front.Value.(*organisationQueue)
	caller := organisation.turn.Front().Value.(*callerQueue)
	next := caller.waiters.Front().Value.(*waiter)
	queue.turn.MoveToBack(organisation.place)
	organisation.turn.MoveToBack(caller.place)
	queue.remove(next)
	return next
}

// remove takes a waiter out and reports whether it was still waiting.
func (queue *fairQueue) remove(gone *waiter) bool {
	if gone.place == nil {
		return false
	}
	organisation := queue.organisations[gone.task.organisation]
	caller := organisation.callers[gone.task.caller]
	caller.waiters.Remove(gone.place)
	gone.place = nil
	organisation.waiting--
	queue.total--
	key := profileKey{gone.task.organisation, gone.task.profile.Name}
	if queue.profiles[key]--; queue.profiles[key] == 0 {
		delete(queue.profiles, key)
	}
	if caller.waiters.Len() == 0 {
		organisation.turn.Remove(caller.place)
		delete(organisation.callers, caller.id)
	}
	if organisation.waiting == 0 {
		queue.turn.Remove(organisation.place)
		delete(queue.organisations, organisation.id)
	}
	return true
}
