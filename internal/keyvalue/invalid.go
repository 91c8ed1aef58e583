package keyvalue

import "github.com/hashicorp/go-hclog"

// InvalidItems logs which items cannot be used: a line when an item becomes invalid or has another error, and one when
// it is valid again. An item that is written or listed again with the same error is not logged again. It is not safe
// for concurrent use.
type InvalidItems struct {
	logger hclog.Logger
	level  hclog.Level
	// invalid and valid are the messages of the two lines.
	invalid, valid string
	// reasons has the error of each invalid item, by its key.
	reasons map[string]string
}

// NewInvalidItems returns a log of invalid items with the level and the message for a new error, and the message for an
// item that is valid again.
func NewInvalidItems(logger hclog.Logger, level hclog.Level, invalid, valid string) *InvalidItems {
	return &InvalidItems{logger: logger, level: level, invalid: invalid, valid: valid, reasons: map[string]string{}}
}

// maxReasonBytes limits the error of an item in the log. The errors of decoders may contain parts of the item.
const maxReasonBytes = 500

// Reject takes note of an invalid item.
func (items *InvalidItems) Reject(key string, err error) {
	reason := err.Error()
	reason = reason[:min(len(reason), maxReasonBytes)]
	if known, ok := items.reasons[key]; ok && known == reason {
		return
	}
	items.reasons[key] = reason
	items.logger.Log(items.level, items.invalid, "key", key, "error", reason)
}

// Accept takes note of a valid item.
func (items *InvalidItems) Accept(key string) {
	if _, ok := items.reasons[key]; ok {
		delete(items.reasons, key)
		items.logger.Info(items.valid, "key", key)
	}
}

// Remove takes note of an item that was deleted.
func (items *InvalidItems) Remove(key string) { delete(items.reasons, key) }

// RemoveOthers takes note that only the listed items exist.
func (items *InvalidItems) RemoveOthers(listed []Change) {
	if len(items.reasons) == 0 {
		return
	}
	exists := make(map[string]bool, len(listed))
	for _, change := range listed {
		exists[change.Key] = true
	}
	for key := range items.reasons {
		if !exists[key] {
			delete(items.reasons, key)
		}
	}
}
