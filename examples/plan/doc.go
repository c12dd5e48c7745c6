// Command plan shows how announcements turn into one snapshot with the leaves of each shard.
package main
