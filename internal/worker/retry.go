package worker

import (
	"math/rand/v2"
	"time"
)

// maxRetryPause is the longest pause, before jitter, between two commands of one kind for one lease.
const maxRetryPause = 2 * time.Second

// retry paces the commands of one kind for one lease, which is sent until the listing of the worker shows its effect.
// Each pause is twice as long as the one before, up to maxRetryPause, so that workers that refuse every command are not
// flooded.
type retry struct {
	// sentAt is the time at which the last command was sent; zero if none was.
	sentAt time.Time
	// pause is the time between the last command and the next.
	pause time.Duration
}

// newRetry returns a retry with the given first pause.
func newRetry(first time.Duration) retry {
	return retry{pause: first}
}

// due reports whether the next command is to be sent.
func (retry *retry) due() bool {
	return time.Since(retry.sentAt) >= retry.pause
}

// sent records that a command is being sent.
func (retry *retry) sent() {
	if !retry.sentAt.IsZero() {
		retry.pause = min(2*retry.pause, maxRetryPause)
		retry.pause += time.Duration(rand.Int64N(int64(retry.pause) / 4))
	}
	retry.sentAt = time.Now()
}
