package workerspeed

import (
	"math"
	"time"
)

// Need is what the objective of a unit asks of its workers.
type Need struct {
	// Longest is the highest factor with which the unit meets its objective if it starts now.
	Longest Factor
	// Urgent units get the fastest workers that are free. Others leave them, and take the slowest with which they meet
	// their objective.
	Urgent bool
	// Strict excludes workers with a higher factor than Longest.
	Strict bool
}

// Excludes reports whether the unit may not be placed on a worker with the given factor.
func (need Need) Excludes(factor Factor) bool { return need.Strict && factor > need.Longest }

// startTime is the time from the decision to start a unit until its tasks work.
const startTime = 250 * time.Millisecond

// NeedOf returns the need of a unit that has waited for a time and whose job still has the given declared work before it,
// of an objective for the whole job.
func NeedOf(objective, waited, remaining time.Duration, urgent bool) Need {
	if remaining <= 0 {
		return Need{Longest: Factor(math.Inf(1)), Urgent: urgent}
	}
	left := objective - waited - startTime
	return Need{Longest: Factor(max(left.Seconds(), 0) / remaining.Seconds()), Urgent: urgent}
}

// MinDifference is how many times the factor of most workers that of a worker must be for it to count as slower.
const MinDifference = 1.3

// Class is the speed of a worker in coarse steps, the fastest first, so that workers of one class are chosen by capacity.
type Class int

// classWidth is the logarithm of the factor between two classes.
const classWidth = 0.25

// ClassOf returns the class of a factor; that of a worker whose factor is not known is the class of factor 1.
func ClassOf(factor Factor) Class {
	return Class(math.Round(math.Log(float64(factor)) / classWidth))
}

// Rank returns a sort key for a worker with the given factor, which is 1 if it is not known: workers with lower ranks are
// preferred.
func (need Need) Rank(factor Factor, known bool) int {
	const (
		// middle keeps the rank of every class positive.
		middle = 32
		// missed is added for a worker with which the unit misses its objective.
		missed = 256
	)
	rank := middle + min(max(int(ClassOf(factor)), -middle), middle)
	if !need.Urgent {
		rank = 2*middle - rank
		if !known {
			// Work with slack makes a worker known before urgent work depends on it.
			rank = 0
		}
	}
	if factor > need.Longest {
		// A unit that misses its objective everywhere still ends soonest on the fastest workers.
		return missed + middle + int(ClassOf(factor))
	}
	return rank
}
