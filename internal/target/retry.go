package target

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// retryShare is the part of requests that may be retried.
	retryShare = 0.1
	// maxRetryTokens bounds the retries that a quiet time saves up.
	maxRetryTokens = 50
	maxAttempts    = 3
	retryDelay     = 20 * time.Millisecond
	minRetryAfter  = 100 * time.Millisecond
)

// retryBudget lets retries add at most retryShare to the requests, whatever fails. It starts empty.
type retryBudget struct {
	mu     sync.Mutex
	tokens float64
}

func (budget *retryBudget) deposit() {
	budget.mu.Lock()
	defer budget.mu.Unlock()
	budget.tokens = min(budget.tokens+retryShare, maxRetryTokens)
}

func (budget *retryBudget) withdraw() bool {
	budget.mu.Lock()
	defer budget.mu.Unlock()
	// Ten deposits of 0.1 sum to slightly less than 1.
	if budget.tokens < 1-1e-9 {
		return false
	}
	budget.tokens--
	return true
}

func (budget *retryBudget) left() float64 {
	budget.mu.Lock()
	defer budget.mu.Unlock()
	return budget.tokens
}

// random is a seeded source that several goroutines share.
type random struct {
	mu     sync.Mutex
	source *rand.Rand
}

func newRandom(seed uint64) *random {
	return &random{source: rand.New(rand.NewPCG(seed, seed))}
}

func (random *random) intN(n int) int {
	random.mu.Lock()
	defer random.mu.Unlock()
	return random.source.IntN(n)
}

// jitter returns a duration between half of base and base and a half.
func (random *random) jitter(base time.Duration) time.Duration {
	return base/2 + time.Duration(random.intN(int(base)))
}
