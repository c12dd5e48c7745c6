package main

import (
	"fmt"

	"samphirepass"
	"samphirepass/lease"
)

func main() {
	seated := []samphirepass.VM{"entry-1", "entry-2", "entry-3"}
	var l lease.Lease
	l.RecordControl(1000)
	fmt.Println("control confirmed at 1000; at 2500:", l.Valid(2500, "entry-1", seated))
	fmt.Println("at 4000:", l.Valid(4000, "entry-1", seated))
	l.RecordPeer("entry-2", 3900)
	fmt.Println("at 4000, after an exchange with entry-2:", l.Valid(4000, "entry-1", seated))
}
