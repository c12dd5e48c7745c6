package main

import (
	"fmt"

	"samphirepass"
	"samphirepass/leaf"
)

func main() {
	r := leaf.NewRegistry(samphirepass.SystemClock{})
	for shard, name := range []samphirepass.Leaf{"a", "b", "c"} {
		r.Apply(samphirepass.Announcement{
			Leaf: name, Service: "check", Incarnation: 1, Sequence: 1, State: samphirepass.LeafServing, Slots: 3, Connections: 30,
			Holdings: []samphirepass.Holding{{Snapshot: 7, Shards: 4, Shard: samphirepass.Shard(shard)}},
		}, 0, true)
	}
	p := leaf.NewPlanner(r, samphirepass.SystemClock{}).Plan("check")
	fmt.Printf("snapshot %d covers %d of %d shards\n", p.Snapshot, p.Covered(), len(p.Shards))
}
