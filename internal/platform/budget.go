package platform

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/quetzalstall/quetzalstall/internal/lifecycle"
)

// errOverBudget is the refusal of a call by the budget; a retry would only add to the load.
var errOverBudget = errors.Wrap(ErrUnavailable, "call budget is used up")

// Budget bounds the calls of this process to the platform by a token bucket.
type Budget struct {
	// CallsPerSecond is the sustained rate.
	CallsPerSecond float64
	// Burst is the number of calls that may be made at once after a pause.
	Burst float64
	// MaxWait bounds the wait for a call; a call that would wait longer is refused.
	MaxWait time.Duration

	mu     sync.Mutex
	tokens float64
	filled time.Time
}

// NewBudget returns a full budget whose calls wait at most half a second.
func NewBudget(callsPerSecond, burst float64) *Budget {
	return &Budget{
		CallsPerSecond: callsPerSecond,
		Burst:          burst,
		MaxWait:        500 * time.Millisecond,
		tokens:         burst,
		filled:         time.Now(),
	}
}

// Take waits for a call. It returns ErrUnavailable when the wait would exceed MaxWait or when ctx ends.
func (budget *Budget) Take(ctx context.Context) error {
	wait, ok := budget.reserve(time.Now())
	if !ok {
		return errOverBudget
	}
	if err := lifecycle.Sleep(ctx, wait); err != nil {
		budget.giveBack()
		return errors.Wrap(ErrUnavailable, err.Error())
	}
	return nil
}

// reserve takes a token, which may come in the future, and returns the wait for it.
func (budget *Budget) reserve(now time.Time) (time.Duration, bool) {
	budget.mu.Lock()
	defer budget.mu.Unlock()
	gained := now.Sub(budget.filled).Seconds() * budget.CallsPerSecond
	budget.tokens = min(budget.Burst, budget.tokens+gained)
	budget.filled = now
	var wait time.Duration
	if budget.tokens < 1 {
		wait = time.Duration((1 - budget.tokens) / budget.CallsPerSecond * float64(time.Second))
	}
	if wait > budget.MaxWait {
		return 0, false
	}
	budget.tokens--
	return wait, true
}

func (budget *Budget) giveBack() {
	budget.mu.Lock()
	defer budget.mu.Unlock()
	budget.tokens++
}

const (
	// Retries add at most a tenth to the calls, so that a store that fails is not loaded further.
	retryShare   = 0.1
	retryReserve = 3
)

// retryBudget allows retries in proportion to the calls.
type retryBudget struct {
	mu      sync.Mutex
	balance float64
}

func (retries *retryBudget) called() {
	retries.mu.Lock()
	defer retries.mu.Unlock()
	retries.balance = min(retryReserve, retries.balance+retryShare)
}

func (retries *retryBudget) take() bool {
	retries.mu.Lock()
	defer retries.mu.Unlock()
	if retries.balance < 1 {
		return false
	}
	retries.balance--
	return true
}

// Backoff gives growing waits with full jitter, so that processes that failed together come back spread out.
type Backoff struct {
	// First and Max bound the first wait and all waits.
	First, Max time.Duration
	// Random returns a number in [0, 1), also to concurrent callers; nil stands for the process-wide source.
	Random func() float64

	failures int
}

// Next returns the next wait, uniform between 0 and a limit that doubles with each call up to Max.
func (backoff *Backoff) Next() time.Duration {
	limit := backoff.Max
	if doubled := backoff.First << backoff.failures; doubled < limit && doubled > 0 {
		limit = doubled
		backoff.failures++
	}
	random := backoff.Random
	if random == nil {
		random = rand.Float64
	}
	return time.Duration(random() * float64(limit))
}

// Reset returns to the first wait.
func (backoff *Backoff) Reset() { backoff.failures = 0 }
