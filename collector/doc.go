// Package collector lets small gateways, here called entries, forward scatter-gather requests to larger ones, the collectors, which
// ask the leaves and merge the replies. This way only a few entries hold connections to the leaves and measure their latencies, and
// the shards' replies cross only the large network links.
package collector
