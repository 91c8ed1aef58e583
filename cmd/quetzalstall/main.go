// Command quetzalstall runs an entry process, a demonstration and its stand-ins, and the commands of operators and
// callers.
package main

import (
	"context"
	"os"

	"github.com/quetzalstall/quetzalstall/internal/cli"
)

func main() {
	os.Exit(cli.Main(context.Background(), os.Args[1:], os.Stdout, os.Stderr))
}
