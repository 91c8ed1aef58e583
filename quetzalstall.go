// Package quetzalstall runs an entry process of the scheduler for multi-accelerator jobs.
package quetzalstall

import (
	"github.com/quetzalstall/quetzalstall/internal/node"
	"github.com/quetzalstall/quetzalstall/internal/settings"
)

// Settings holds the settings of one entry process.
type Settings = settings.Settings

// Node is one entry process. Its exported fields are set before Run; Close waits until Run has returned.
type Node = node.Node

// LoadSettings reads and checks a settings file. The error lists every problem with its path.
func LoadSettings(path string) (Settings, error) {
	return settings.Load(path)
}

// NewNode returns an entry process. The settings must come from LoadSettings or have passed the same checks.
func NewNode(settings Settings) *Node {
	return node.New(settings)
}
