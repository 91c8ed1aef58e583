package platform

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/quetzalstall/quetzalstall/internal/lifecycle"
)

// errOverBudget means that the call budget of this process refused a call. The call is not retried, since a retry would
// only add to the load.
var errOverBudget = errors.Wrap(ErrUnavailable, "call budget is used up")

// Budget is a token bucket that limits the rate of this process's calls to the platform.
type Budget struct {
	// CallsPerSecond is the sustained rate of calls.
	CallsPerSecond float64
	// Burst is the capacity of the bucket: the number of calls that may be made at once after an idle time.
	Burst float64
	// MaxWait limits the wait for a token; a call that would have to wait longer is refused.
	MaxWait time.Duration

	mu         sync.Mutex
	tokens     float64
	lastRefill time.Time
}

// NewBudget returns a full budget with a MaxWait of half a second.
func NewBudget(callsPerSecond, burst float64) *Budget {
	return &Budget{
		CallsPerSecond: callsPerSecond,
		Burst:          burst,
		MaxWait:        500 * time.Millisecond,
		tokens:         burst,
		lastRefill:     time.Now(),
	}
}

// Take takes one token and waits until it is available. It returns ErrUnavailable if the wait would exceed MaxWait or
// if ctx ends.
func (budget *Budget) Take(ctx context.Context) error {
	wait, ok := budget.reserve(time.Now())
	if !ok {
		return errOverBudget
	}
	if err := lifecycle.Sleep(ctx, wait); err != nil {
		budget.refund()
		return errors.Wrap(ErrUnavailable, err.Error())
	}
	return nil
}

// reserve takes a token and returns the time until the token is available. This time is 0 if the bucket holds a token.
// reserve returns false and takes no token if the time would exceed MaxWait.
func (budget *Budget) reserve(now time.Time) (time.Duration, bool) {
	budget.mu.Lock()
	defer budget.mu.Unlock()
	gained := now.Sub(budget.lastRefill).Seconds() * budget.CallsPerSecond
	budget.tokens = min(budget.Burst, budget.tokens+gained)
	budget.lastRefill = now
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

func (budget *Budget) refund() {
	budget.mu.Lock()
	defer budget.mu.Unlock()
	budget.tokens++
}

const (
	// retryShare is the number of retries that each call allows. It limits the retries to a tenth of the calls, so that
	// they add little load to a failing store.
	retryShare = 0.1
	// retryReserve is the maximum number of unused retries that can accumulate, and so the maximum number of retries in
	// a row.
	retryReserve = 3
)

// retryBudget limits the number of retries to a fraction of the number of calls. balance is the number of retries that
// may be made at present.
type retryBudget struct {
	mu      sync.Mutex
	balance float64
}

func (retries *retryBudget) addCall() {
	retries.mu.Lock()
	defer retries.mu.Unlock()
	retries.balance = min(retryReserve, retries.balance+retryShare)
}

func (retries *retryBudget) tryTake() bool {
	retries.mu.Lock()
	defer retries.mu.Unlock()
	if retries.balance < 1 {
		return false
	}
	retries.balance--
	return true
}

// Backoff computes exponential delays with full jitter, so that processes whose calls failed together do not retry
// together.
type Backoff struct {
	// First is the maximum of the first delay, and Max is the maximum of all delays.
	First, Max time.Duration
	// Random returns a number in [0, 1) and must be safe for concurrent use; nil selects the process-wide source.
	Random func() float64

	failures int
}

// Next returns the next delay, uniformly distributed between 0 and a limit that doubles with each call up to Max.
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

// Reset sets the limit of the next delay back to First.
func (backoff *Backoff) Reset() { backoff.failures = 0 }
