package scheduler

import (
	"math"

	"github.com/quetzalstall/quetzalstall/pkg/fleet"
)

// resources counts accelerators, cores and bytes of memory, in this order.
type resources [3]int64

// resourcesOf returns the resources that one member of a shape needs.
func resourcesOf(shape fleet.Shape) resources {
	return resources{int64(shape.Accelerators), int64(shape.Cores), int64(shape.Memory)}
}

// capacityOf returns the resources that a worker provides.
func capacityOf(worker fleet.Worker) resources {
	return resources{int64(worker.Accelerators), int64(worker.Cores), int64(worker.Memory)}
}

func (amount resources) plus(other resources) resources {
	for i := range amount {
		amount[i] += other[i]
	}
	return amount
}

func (amount resources) minus(other resources) resources {
	for i := range amount {
		amount[i] -= other[i]
	}
	return amount
}

func (amount resources) times(count int) resources {
	for i := range amount {
		amount[i] *= int64(count)
	}
	return amount
}

// positive replaces negative amounts by 0.
func (amount resources) positive() resources {
	for i := range amount {
		amount[i] = max(amount[i], 0)
	}
	return amount
}

// atMost returns the smaller amount of each resource.
func (amount resources) atMost(other resources) resources {
	for i := range amount {
		amount[i] = min(amount[i], other[i])
	}
	return amount
}

// atLeast returns the larger amount of each resource.
func (amount resources) atLeast(other resources) resources {
	for i := range amount {
		amount[i] = max(amount[i], other[i])
	}
	return amount
}

// covers reports whether amount is at least as large as other for every resource.
func (amount resources) covers(other resources) bool {
	for i := range amount {
		if amount[i] < other[i] {
			return false
		}
	}
	return true
}

// quotient returns how many times unit fits into amount. Resources that unit does not need are ignored.
func (amount resources) quotient(unit resources) int {
	fit := int64(math.MaxInt32)
	for i := range amount {
		if unit[i] > 0 {
			fit = min(fit, amount[i]/unit[i])
		}
	}
	return int(max(fit, 0))
}
