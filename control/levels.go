package control

import (
	"fmt"
	"slices"
	"strings"

	"samphirepass"
	"samphirepass/quorum"
)

// withHeardLevels returns members with the levels that this member has heard from them itself. Those that it has not heard from since it
// started, and that are away, count with what the log says of them.
func (n *Node) withHeardLevels(members quorum.Members) quorum.Members {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.withHeardLevelsLocked(members)
}

func (n *Node) withHeardLevelsLocked(members quorum.Members) quorum.Members {
	out := slices.Clone(members)
	for i, m := range out {
		if m.VM == n.opts.VM {
			out[i].Level = n.opts.Level
		} else if level, ok := n.heardLevels[m.VM]; ok {
			out[i].Level = level
		}
	}
	return out
}

// logLevelLocked logs a change of the log's level: the lowest of its members.
func (n *Node) logLevelLocked() {
	level := n.withHeardLevelsLocked(n.members).Lowest().Level
	if level == n.loggedLevel || len(n.members) == 0 {
		return
	}
	n.opts.Log("Level of the log was %d and is %d, as its members read %s; this member reads %d.", n.loggedLevel, level, describeLevels(n.withHeardLevelsLocked(n.members)), n.opts.Level)
	n.loggedLevel = level
}

// logTooLowLocked logs why a process is not admitted, if that has changed; reason is empty if there is none.
func (n *Node) logTooLowLocked(reason string) {
	if reason != "" && reason != n.loggedTooLow {
		n.opts.Log("Process %s: upgrade it.", reason)
	}
	n.loggedTooLow = reason
}

// describeLevels names the level of each member.
func describeLevels(members quorum.Members) string {
	var parts []string
	for _, m := range members {
		parts = append(parts, fmt.Sprintf("%s: %d", m.VM, m.Level))
	}
	return strings.Join(parts, ", ")
}

// recordLevels proposes the levels of members that differ from what the log says of them, so that the next leader knows those of members
// that are away then. It reports whether there are any.
func (l *loop) recordLevels(members quorum.Members) bool {
	next := l.node.withHeardLevels(members)
	if slices.Equal(next, members) {
		return false
	}
	if err := l.core.ProposeMembers(next); err == nil {
		l.node.opts.Log("Leader proposes to record the levels of the members: %s.", describeLevels(next))
	}
	return true
}

// proposeAt proposes a command that builds of the given level and above apply. It is refused as not run while a member of the log reads less.
func (l *loop) proposeAt(level samphirepass.Level, data []byte, p proposal) {
	lowest := l.node.withHeardLevels(l.core.Members()).Lowest()
	if l.core.Role() == quorum.RoleLeader && lowest.Level < level {
		err := samphirepass.Refuse(samphirepass.CodeUnavailable, "member %s reads level %d, and the command is of level %d: upgrade it first", lowest.VM, lowest.Level, level)
		p.done <- proposalResult{err: err}
		return
	}
	l.propose(data, p)
}

// LogLevel returns the level of the log, which is the lowest that its members read, as far as this member has heard.
func (n *Node) LogLevel() samphirepass.Level {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.withHeardLevelsLocked(n.members).Lowest().Level
}
