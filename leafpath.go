package samphirepass

import "github.com/rotisserie/eris"

// ErrNoPath is the cause of ending attempts because this process reaches no leaf.
var ErrNoPath = eris.New("no path to any leaf")

// LeafPath tells whether this process reaches leaves at all and is safe for concurrent use.
type LeafPath interface {
	// Lost returns a channel that is closed once, and as long as, no leaf is reached. Another channel replaces it when one is again.
	Lost() <-chan struct{}
	// Narrow reports whether leaves are reached on open connections only.
	Narrow() bool
}

// PathNarrow reports whether a path is narrow; a nil path never is.
func PathNarrow(p LeafPath) bool { return p != nil && p.Narrow() }

// PathLost reports whether a path is lost; a nil path never is.
func PathLost(p LeafPath) bool {
	if p == nil {
		return false
	}
	select {
	case <-p.Lost():
		return true
	default:
		return false
	}
}
