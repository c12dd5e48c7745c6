// Package blackboard holds typed cells that controllers read, write and watch.
package blackboard
