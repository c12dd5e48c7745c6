// Package collector lets small entries pass requests over many shards to larger ones, which ask the leaves and merge:
// a few entries then hold the leaves' connections and know how fast each leaf is, and the parts of an answer cross the large links only.
package collector
