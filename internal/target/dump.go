package target

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/quetzalstall/quetzalstall/pkg/fleet"
)

// Dump is the state of the Router of one process.
type Dump struct {
	Services    map[fleet.ServiceName]ServiceDump `json:"services"`
	RetryTokens float64                           `json:"retry_tokens"`
	// HeldIDs counts the ids of non-idempotent requests that this process holds as their home (see homeOf).
	// HeldOutcomes counts the held outcomes of idempotent requests. HeldAnswers is the total size of the held answers.
	HeldIDs      int         `json:"held_ids"`
	HeldOutcomes int         `json:"held_outcomes"`
	HeldAnswers  fleet.Bytes `json:"held_answer_bytes"`
}

// ServiceDump holds the waiting requests and the targets of one service, as known to one process.
type ServiceDump struct {
	// Waiting counts the waiting requests of each organisation.
	Waiting map[fleet.OrganisationID]int   `json:"waiting"`
	Targets map[fleet.TargetID]BackendDump `json:"targets"`
}

// BackendDump is the state of one target: the slots and connections that this process owns and uses.
type BackendDump struct {
	State            string             `json:"state"`
	DataCentre       fleet.DataCentreID `json:"data_centre"`
	OwnedSlots       int                `json:"owned_slots"`
	UsedSlots        int                `json:"used_slots"`
	OwnedConnections int                `json:"owned_connections"`
	UsedConnections  int                `json:"used_connections"`
}

// Dump returns the state of the request path for encoding as JSON. It contains no request bodies and no bearer tokens.
func (router *Router) Dump() any {
	router.init()
	dump := Dump{Services: map[fleet.ServiceName]ServiceDump{}, RetryTokens: router.budget.balance()}
	dump.HeldIDs, dump.HeldOutcomes, dump.HeldAnswers = router.ledger.size()
	for _, group := range router.allGroups() {
		dump.Services[group.service] = group.dump()
	}
	return dump
}

func (group *group) dump() ServiceDump {
	group.mu.Lock()
	defer group.mu.Unlock()
	dump := ServiceDump{Waiting: map[fleet.OrganisationID]int{}, Targets: map[fleet.TargetID]BackendDump{}}
	for id, organisation := range group.queue.organisations {
		dump.Waiting[id] = organisation.waiting
	}
	now := time.Now()
	for id, backend := range group.backends {
		dump.Targets[id] = BackendDump{
			State:            backend.state(now),
			DataCentre:       backend.target.DataCentre,
			OwnedSlots:       backend.share.slots,
			UsedSlots:        backend.used,
			OwnedConnections: backend.share.connections,
			UsedConnections:  backend.pool.count(),
		}
	}
	return dump
}

func (router *Router) counter(name string) metrics.Counter {
	return metrics.GetOrRegisterCounter(name, router.Metrics)
}
