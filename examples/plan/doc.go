// Command plan demonstrates how announcements become a plan: one snapshot with the leaves that hold each of its shards.
package main
