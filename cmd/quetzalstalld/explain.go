package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/quetzalstall/quetzalstall/platform"
)

// explainTimeout limits the whole request for an explanation.
const explainTimeout = 10 * time.Second

// explain prints where the job in a file would go now, and returns the exit code.
func explain(path string, request platform.ExplainRequest) int {
	if request.Address == "" || request.Profile == "" {
		fmt.Fprintln(os.Stderr, "quetzalstalld: -explain needs -profile and -at")
		return 2
	}
	job, err := os.Open(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, "quetzalstalld:", err)
		return 2
	}
	defer func() { _ = job.Close() }()
	ctx, cancel := context.WithTimeout(context.Background(), explainTimeout)
	defer cancel()
	request.Client = http.DefaultClient
	if err := request.Send(ctx, job, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "quetzalstalld:", err)
		return 1
	}
	return 0
}
