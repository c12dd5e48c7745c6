package ledger

import (
	"fmt"

	"github.com/rotisserie/eris"

	"samphirepass"
)

// ErrLaterLevel means that something was written by a build of a later level than the one that reads it.
var ErrLaterLevel = eris.New("it is of a later level than this program reads")

// ReadLevel is the highest level that this version reads; docs/design/upgrades.md says what each level brought.
const ReadLevel samphirepass.Level = 1

// commandKind is a kind of command.
type commandKind struct {
	// field is the name of the field of Command that holds commands of this kind.
	field string
	// level is the lowest whose builds apply such commands.
	level samphirepass.Level
	isSet func(Command) bool
}

// commandKinds are all kinds of commands that this version applies. What is written is at most one level below ReadLevel, so that the version
// before reads it.
var commandKinds = []commandKind{
	{"Change", 0, func(c Command) bool { return c.Change != nil }},
	{"Claim", 0, func(c Command) bool { return c.Claim != nil }},
	{"Outcome", 0, func(c Command) bool { return c.Outcome != nil }},
	{"Seat", 0, func(c Command) bool { return c.Seat != nil }},
	{"FinishForming", 0, func(c Command) bool { return c.FinishForming != nil }},
	{"Routing", 0, func(c Command) bool { return c.Routing != nil }},
	{"Evacuation", 0, func(c Command) bool { return c.Evacuation != nil }},
}

// kind returns the kind of the command, and whether this version knows it.
func (c Command) kind() (commandKind, bool) {
	for _, k := range commandKinds {
		if k.isSet(c) {
			return k, true
		}
	}
	return commandKind{}, false
}

// MinLevel returns the lowest level whose builds apply the command.
func (c Command) MinLevel() samphirepass.Level {
	k, _ := c.kind()
	return k.level
}

// CheckLevel returns an error that wraps ErrLaterLevel if a program that reads up to one level meets what was written at a higher one.
func CheckLevel(written, reads samphirepass.Level) error {
	if written > reads {
		return fmt.Errorf("%w: %d, and this program reads %d", ErrLaterLevel, written, reads)
	}
	return nil
}
