package directory

import (
	"context"
	"fmt"
	"slices"
	"time"

	"samphirepass"
	"samphirepass/cbor"
	"samphirepass/leaf"
)

const (
	keptName      = "leaves"
	keptTemporary = "leaves-new"
	// keepEveryMs bounds how often the leaves are written; a change is written at once if the last one is longer ago.
	keepEveryMs samphirepass.Millis = 500
	// countEveryMs is the time between two looks at the number of entries.
	countEveryMs samphirepass.Millis = 2000
)

// known is what is kept.
type known struct {
	Leaves []leaf.AgedAnnouncement
	// Entries and Collectors are the numbers by which limits are shared out.
	Entries, Collectors int
}

// DiskCache keeps the known leaves and the number of entries on a disk, so that requests are served again at once after all processes of control stopped
// together, and not only when each leaf has sent its next heartbeat. What it reads is a hint: a request names its leaf,
// and a leaf that gives no sign of life is soon called silent. Without the number of entries those that come back first
// would take the shares of all others.
type DiskCache struct {
	files    samphirepass.DataFolder
	registry *leaf.Registry
	source   *Source
	log      func(format string, args ...any)
	failing  bool
}

// NewDiskCache returns a keeper of what registry holds and of the number of entries that source counts.
func NewDiskCache(files samphirepass.DataFolder, registry *leaf.Registry, source *Source, log func(format string, args ...any)) *DiskCache {
	return &DiskCache{files: files, registry: registry, source: source, log: log}
}

// Load takes in the leaves that were kept; it is called before the registry hears of any.
func (k *DiskCache) Load() {
	names, err := k.files.List()
	if err != nil || !slices.Contains(names, keptName) {
		k.log("No leaves are kept (error: %v).", err)
		return
	}
	data, err := k.files.Read(keptName)
	var have known
	if err == nil {
		err = cbor.Unmarshal(data, &have)
	}
	if err != nil {
		// A torn file is as good as none: heartbeats tell the same a little later.
		k.log("Kept leaves cannot be read: %v.", err)
		return
	}
	for _, h := range have.Leaves {
		k.registry.Apply(h.Announcement, min(h.AgeMs, leaf.SilentMs/2), false)
	}
	k.source.remember(have.Entries, have.Collectors)
	k.log("%d kept leaves are known until their heartbeats say otherwise; limits are shared among %d entries, %d of which collect.",
		len(have.Leaves), have.Entries, have.Collectors)
}

// Serve writes changes until ctx ends.
func (k *DiskCache) Serve(ctx context.Context) error {
	version := uint64(0)
	var counted [2]int
	t := time.NewTicker(countEveryMs.Duration())
	defer t.Stop()
	for {
		select {
		case <-k.registry.Changed(version):
		case <-t.C:
		case <-ctx.Done():
			return fmt.Errorf("keep leaves: %w", ctx.Err())
		}
		all, now := k.registry.ChangesSince(0)
		entries, collectors := k.source.counts()
		if count := [2]int{entries, collectors}; now != version || count != counted {
			version, counted = now, count
			k.note(k.write(known{Leaves: all, Entries: entries, Collectors: collectors}))
		}
		select {
		case <-time.After(keepEveryMs.Duration()):
		case <-ctx.Done():
			return fmt.Errorf("keep leaves: %w", ctx.Err())
		}
	}
}

// note logs the first failure of a row, and its end.
func (k *DiskCache) note(err error) {
	if (err != nil) == k.failing {
		return
	}
	k.failing = err != nil
	if err != nil {
		k.log("Leaves cannot be kept: %v.", err)
		return
	}
	k.log("Leaves are kept again.")
}

func (k *DiskCache) write(state known) error {
	data, err := cbor.Marshal(state)
	if err != nil {
		return fmt.Errorf("encode leaves: %w", err)
	}
	f, err := k.files.Append(keptTemporary)
	if err != nil {
		return fmt.Errorf("open file of leaves: %w", err)
	}
	defer f.Close()
	if err := f.Truncate(0); err != nil {
		return fmt.Errorf("empty file of leaves: %w", err)
	}
	if _, err := f.Write(data); err != nil {
		return fmt.Errorf("write leaves: %w", err)
	}
	if err := f.Sync(); err != nil {
		return fmt.Errorf("sync leaves: %w", err)
	}
	if err := k.files.Rename(keptTemporary, keptName); err != nil {
		return fmt.Errorf("rename file of leaves: %w", err)
	}
	if err := k.files.SyncFolder(); err != nil {
		return fmt.Errorf("sync folder of leaves: %w", err)
	}
	return nil
}
