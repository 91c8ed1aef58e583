// Command quetzalstall runs an entry process, its demo and stand-ins, and the operators' and callers' commands.
package main

import (
	"context"
	"os"

	"github.com/quetzalstall/quetzalstall/internal/cli"
)

func main() {
	os.Exit(cli.Main(context.Background(), os.Args[1:], os.Stdout, os.Stderr))
}
