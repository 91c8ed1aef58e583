package target

import (
	"container/list"

	"github.com/quetzalstall/quetzalstall/pkg/fleet"
)

// fairQueue holds waiting requests. It serves organisations in turn, and the callers of an organisation in turn, one
// request each. An organisation or caller with many waiting requests therefore delays one with few by at most one
// request per turn.
type fairQueue struct {
	// limit is the maximum of total.
	limit         int
	total         int
	organisations map[fleet.OrganisationID]*organisationQueue
	// rotation holds the organisations with waiting requests; the first is served next.
	rotation list.List
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
	// rotation holds the callers with waiting requests; the first is served next.
	rotation list.List
	element  *list.Element
}

type callerQueue struct {
	id fleet.CallerID
	// waiters are in order of arrival.
	waiters list.List
	element *list.Element
}

// waiter is a request that waits in a fairQueue for a grant.
type waiter struct {
	task *task
	// granted receives exactly one grant, unless the waiter leaves the queue first.
	granted chan grant
	element *list.Element
}

func newFairQueue(limit int) *fairQueue {
	return &fairQueue{
		limit:         limit,
		organisations: map[fleet.OrganisationID]*organisationQueue{},
		profiles:      map[profileKey]int{},
	}
}

// push adds a waiter. If the queue is then over its limit, it removes and returns the newest waiter of the caller with
// the most waiting requests (see newestOfLargestCaller). This may be the added waiter.
func (queue *fairQueue) push(added *waiter) (evicted *waiter) {
	queue.insert(added)
	if queue.total <= queue.limit {
		return nil
	}
	evicted = queue.newestOfLargestCaller(added)
	queue.remove(evicted)
	return evicted
}

// waitingOfProfile returns the number of waiting requests with the profile of a task.
func (queue *fairQueue) waitingOfProfile(task *task) int {
	return queue.profiles[profileKey{task.organisation, task.profile.Name}]
}

// insert adds a waiter without regard to the limit.
func (queue *fairQueue) insert(added *waiter) {
	organisation, ok := queue.organisations[added.task.organisation]
	if !ok {
		organisation = &organisationQueue{id: added.task.organisation, callers: map[fleet.CallerID]*callerQueue{}}
		organisation.element = queue.rotation.PushBack(organisation)
		queue.organisations[organisation.id] = organisation
	}
	caller, ok := organisation.callers[added.task.caller]
	if !ok {
		caller = &callerQueue{id: added.task.caller}
		caller.element = organisation.rotation.PushBack(caller)
		organisation.callers[caller.id] = caller
	}
	if added.task.wasQueued {
		// The task was in the queue before and was then refused by a peer, or its attempt failed and is retried. It
		// goes to the front, before requests that arrived later.
		added.element = caller.waiters.PushFront(added)
		organisation.rotation.MoveToFront(caller.element)
		queue.rotation.MoveToFront(organisation.element)
	} else {
		added.element = caller.waiters.PushBack(added)
	}
	organisation.waiting++
	queue.profiles[profileKey{added.task.organisation, added.task.profile.Name}]++
	queue.total++
}

// newestOfLargestCaller returns the newest waiter of the caller with the most waiting requests in the organisation with
// the most waiting requests. In a tie, the organisation and the caller of the added waiter are chosen.
func (queue *fairQueue) newestOfLargestCaller(added *waiter) *waiter {
	organisation := queue.organisations[added.task.organisation]
	for element := queue.rotation.Front(); element != nil; element = element.Next() {
		if other := element.Value.(*organisationQueue); other.waiting > organisation.waiting {
			organisation = other
		}
	}
	caller, ok := organisation.callers[added.task.caller]
	if organisation.id != added.task.organisation || !ok {
		caller = organisation.rotation.Front().Value.(*callerQueue)
	}
	for element := organisation.rotation.Front(); element != nil; element = element.Next() {
		if other := element.Value.(*callerQueue); other.waiters.Len() > caller.waiters.Len() {
			caller = other
		}
	}
	return caller.waiters.Back().Value.(*waiter)
}

// pop removes and returns the next waiter; nil if the queue is empty.
func (queue *fairQueue) pop() *waiter {
	front := queue.rotation.Front()
	if front == nil {
		return nil
	}
	organisation := front.Value.(*organisationQueue)
	caller := organisation.rotation.Front().Value.(*callerQueue)
	next := caller.waiters.Front().Value.(*waiter)
	queue.rotation.MoveToBack(organisation.element)
	organisation.rotation.MoveToBack(caller.element)
	queue.remove(next)
	return next
}

// remove removes a waiter and reports whether it was still in the queue.
func (queue *fairQueue) remove(removed *waiter) bool {
	if removed.element == nil {
		return false
	}
	organisation := queue.organisations[removed.task.organisation]
	caller := organisation.callers[removed.task.caller]
	caller.waiters.Remove(removed.element)
	removed.element = nil
	organisation.waiting--
	queue.total--
	key := profileKey{removed.task.organisation, removed.task.profile.Name}
	if queue.profiles[key]--; queue.profiles[key] == 0 {
		delete(queue.profiles, key)
	}
	if caller.waiters.Len() == 0 {
		organisation.rotation.Remove(caller.element)
		delete(organisation.callers, caller.id)
	}
	if organisation.waiting == 0 {
		queue.rotation.Remove(organisation.element)
		delete(queue.organisations, organisation.id)
	}
	return true
}
