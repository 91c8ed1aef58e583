package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// record writes what was sent, answered and run, with the time since the start of the case.
type record struct {
	mu      sync.Mutex
	file    *os.File
	began   time.Time
	starts  map[string]int
	ends    map[string]map[string]int
	failure string
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, began: time.Now(), starts: map[string]int{}, ends: map[string]map[string]int{}}, nil
}

func (record *record) write(format string, args ...any) {
	record.mu.Lock()
	defer record.mu.Unlock()
	fmt.Fprintf(record.file, "%8.3f  %s\n", time.Since(record.began).Seconds(), fmt.Sprintf(format, args...))
}

// broken notes that the rule was broken. Only the first time counts.
func (record *record) broken(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	record.mu.Lock()
	first := record.failure == ""
	if first {
		record.failure = text
	}
	record.mu.Unlock()
	if first {
		record.write("RULE BROKEN: %s", text)
	}
}

func (record *record) wasBroken() bool {
	record.mu.Lock()
	defer record.mu.Unlock()
	return record.failure != ""
}

func (record *record) countStart(task string) {
	record.mu.Lock()
	defer record.mu.Unlock()
	record.starts[task]++
}

func (record *record) countEnd(task, how string) {
	record.mu.Lock()
	defer record.mu.Unlock()
	if record.ends[task] == nil {
		record.ends[task] = map[string]int{}
	}
	record.ends[task][how]++
}

// startsOf returns how often tasks of a job were started on minions.
func (record *record) startsOf(job string) int {
	record.mu.Lock()
	defer record.mu.Unlock()
	total := 0
	for task, count := range record.starts {
		if strings.HasPrefix(task, job+".") {
			total += count
		}
	}
	return total
}

// endsOf returns how many runs of a job ended on minions in a way.
func (record *record) endsOf(job, how string) int {
	record.mu.Lock()
	defer record.mu.Unlock()
	total := 0
	for task, ends := range record.ends {
		if strings.HasPrefix(task, job+".") {
			total += ends[how]
		}
	}
	return total
}
