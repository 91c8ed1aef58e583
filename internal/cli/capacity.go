package cli

import (
	"context"
	"flag"

	"github.com/quetzalstall/quetzalstall/internal/capacity"
)

func setupCapacity(*flag.FlagSet) func(context.Context, console, []string) error {
	return func(ctx context.Context, console console, _ []string) error {
		return capacity.Measure(ctx, console.out)
	}
}
