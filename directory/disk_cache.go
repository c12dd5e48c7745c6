package directory

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"samphirepass"
	"samphirepass/cbor"
	"samphirepass/leaf"
)

const (
	cacheName          = "leaves"
	cacheTemporaryName = "leaves-new"
	// writeIntervalMs is the minimum time between two writes; a change after a longer pause is written at once.
	writeIntervalMs samphirepass.Millis = 500
	// departureDelayMs is how long a write that is waited for is delayed, so that leaves that leave together share it.
	departureDelayMs samphirepass.Millis = 20
	// countIntervalMs is the interval at which the numbers of entries and collectors are checked for changes.
	countIntervalMs samphirepass.Millis = 2000
)

// cachedState is the content of the cache file.
type cachedState struct {
	Leaves []leaf.AgedAnnouncement
	// Entries and Collectors are the numbers among which limits are shared.
	Entries, Collectors int
}

// DiskCache keeps the known leaves and the numbers of entries and collectors on disk. After a restart of all control processes,
// requests are then served at once, not only when each leaf has sent its next heartbeat. Cached leaves are hints: a request names
// the leaf that it is meant for, and a leaf without heartbeats is soon reported as silent. Without the cached number of entries, the
// first entries to reconnect would take the shares of limits of all others.
type DiskCache struct {
	folder   samphirepass.DataFolder
	registry *leaf.Registry
	source   *Source
	log      func(format string, args ...any)
	failing  bool
	// waited receives a value when AwaitSaved is called.
	waited chan struct{}

	mu sync.Mutex
	// savedVersion is the version of the registry that the last write covers.
	savedVersion uint64
	// saved is closed after the next write.
	saved chan struct{}
}

// NewDiskCache returns a cache of the leaves in registry and of the numbers of entries and collectors that source counts.
func NewDiskCache(folder samphirepass.DataFolder, registry *leaf.Registry, source *Source, log func(format string, args ...any)) *DiskCache {
	return &DiskCache{folder: folder, registry: registry, source: source, log: log, waited: make(chan struct{}, 1), saved: make(chan struct{})}
}

// Load restores the cached leaves and counts; it must be called before the registry receives announcements.
func (c *DiskCache) Load() {
	names, err := c.folder.List()
	if err != nil || !slices.Contains(names, cacheName) {
		c.log("No leaf cache found (error: %v).", err)
		return
	}
	data, err := c.folder.Read(cacheName)
	var state cachedState
	if err == nil {
		err = cbor.Unmarshal(data, &state)
	}
	if err != nil {
		// An unreadable or truncated file is treated like a missing one: the leaves become known again with their next heartbeats.
		c.log("Cannot read leaf cache: %v.", err)
		return
	}
	for _, a := range state.Leaves {
		// The age is capped, so that each leaf has time for a heartbeat before it counts as silent.
		// A warm-up counts from now, as it is not known how long this process was down; the next answer carries the limit again.
		a.AgeMs, a.Limit = min(a.AgeMs, leaf.SilentMs/2), nil
		c.registry.ApplyAged(a)
	}
	c.source.restoreCounts(state.Entries, state.Collectors)
	c.log("Loaded %d leaves from the leaf cache, to be confirmed by heartbeats; limits are shared among %d entries, %d of them collectors.",
		len(state.Leaves), state.Entries, state.Collectors)
}

// Serve writes the cache after changes until ctx ends.
func (c *DiskCache) Serve(ctx context.Context) error {
	version := uint64(0)
	var writtenCounts [2]int
	t := time.NewTicker(countIntervalMs.Duration())
	defer t.Stop()
	for {
		select {
		case <-c.registry.Changed(version):
		case <-t.C:
		case <-ctx.Done():
			return fmt.Errorf("cache leaves: %w", ctx.Err())
		}
		leaves, newVersion := c.registry.ChangesSince(0)
		entries, collectors := c.source.entryCounts()
		if counts := [2]int{entries, collectors}; newVersion != version || counts != writtenCounts {
			err := c.write(cachedState{Leaves: leaves, Entries: entries, Collectors: collectors})
			c.logWriteState(err)
			if err == nil {
				version, writtenCounts = newVersion, counts
				c.setSaved(newVersion)
			}
		}
		if err := c.awaitNextWrite(ctx); err != nil {
			return err
		}
	}
}

// awaitNextWrite waits writeIntervalMs, or departureDelayMs after AwaitSaved was called.
func (c *DiskCache) awaitNextWrite(ctx context.Context) error {
	wait := time.NewTimer(writeIntervalMs.Duration())
	defer wait.Stop()
	for {
		select {
		case <-wait.C:
			return nil
		case <-c.waited:
			wait.Reset(departureDelayMs.Duration())
		case <-ctx.Done():
			return fmt.Errorf("cache leaves: %w", ctx.Err())
		}
	}
}

func (c *DiskCache) setSaved(version uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.savedVersion = version
	close(c.saved)
	c.saved = make(chan struct{})
}

// AwaitSaved returns once a version of the registry is on the disk, or an error if ctx ends first.
func (c *DiskCache) AwaitSaved(ctx context.Context, version uint64) error {
	for {
		c.mu.Lock()
		done, saved := c.savedVersion >= version, c.saved
		c.mu.Unlock()
		if done {
			return nil
		}
		select {
		case c.waited <- struct{}{}:
		default:
		}
		select {
		case <-saved:
		case <-ctx.Done():
			return fmt.Errorf("save leaf cache: %w", ctx.Err())
		}
	}
}

// logWriteState logs the first of consecutive write failures and the first success after them.
func (c *DiskCache) logWriteState(err error) {
	if (err != nil) == c.failing {
		return
	}
	c.failing = err != nil
	if err != nil {
		c.log("Cannot write leaf cache: %v.", err)
		return
	}
	c.log("Leaf cache can be written again.")
}

func (c *DiskCache) write(state cachedState) error {
	data, err := cbor.Marshal(state)
	if err != nil {
		return fmt.Errorf("encode leaf cache: %w", err)
	}
	f, err := c.folder.Append(cacheTemporaryName)
	if err != nil {
		return fmt.Errorf("open temporary leaf cache: %w", err)
	}
	defer f.Close()
	if err := f.Truncate(0); err != nil {
		return fmt.Errorf("truncate temporary leaf cache: %w", err)
	}
	if _, err := f.Write(data); err != nil {
		return fmt.Errorf("write temporary leaf cache: %w", err)
	}
	if err := f.Sync(); err != nil {
		return fmt.Errorf("sync temporary leaf cache: %w", err)
	}
	if err := c.folder.Rename(cacheTemporaryName, cacheName); err != nil {
		return fmt.Errorf("rename temporary leaf cache: %w", err)
	}
	if err := c.folder.SyncFolder(); err != nil {
		return fmt.Errorf("sync folder of leaf cache: %w", err)
	}
	return nil
}
