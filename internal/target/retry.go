package target

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// retryRatio is the ratio of retries to requests that the budget allows.
	retryRatio = 0.1
	// maxRetryTokens limits the retries that accumulate while no request fails.
	maxRetryTokens = 50
	maxAttempts    = 3
	retryDelay     = 20 * time.Millisecond
	minRetryAfter  = 100 * time.Millisecond
)

// retryBudget is a token bucket that limits retries to the fraction retryRatio of the requests, even if every attempt
// fails. It starts empty.
type retryBudget struct {
	mu     sync.Mutex
	tokens float64
}

// deposit adds the tokens for one request.
func (budget *retryBudget) deposit() {
	budget.mu.Lock()
	defer budget.mu.Unlock()
	budget.tokens = min(budget.tokens+retryRatio, maxRetryTokens)
}

// withdraw takes one token, which allows one retry. It returns false if the budget has less than one token.
func (budget *retryBudget) withdraw() bool {
	budget.mu.Lock()
	defer budget.mu.Unlock()
	// Ten deposits of 0.1 sum to slightly less than 1 because of rounding.
	if budget.tokens < 1-1e-9 {
		return false
	}
	budget.tokens--
	return true
}

// balance returns the number of tokens.
func (budget *retryBudget) balance() float64 {
	budget.mu.Lock()
	defer budget.mu.Unlock()
	return budget.tokens
}

// random is a seeded source of random numbers for concurrent use by several goroutines.
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

// jitter returns a random duration between 0.5 and 1.5 times base.
func (random *random) jitter(base time.Duration) time.Duration {
	return base/2 + time.Duration(random.intN(int(base)))
}
