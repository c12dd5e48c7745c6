// Package blackboard holds the state that the parts of an entry share, in values that can be read, replaced and watched.
package blackboard
