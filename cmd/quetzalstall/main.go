// Command quetzalstall runs an entry process, the stand-ins for the platform, workers and targets, a demonstration with
// load and failures, and the commands of operators and callers.
package main

import (
	"context"
	"os"

	"github.com/quetzalstall/quetzalstall/internal/cli"
)

func main() {
	os.Exit(cli.Main(context.Background(), os.Args[1:], os.Stdout, os.Stderr))
}
