package main

import (
	"fmt"

	"samphirepass"
	"samphirepass/lease"
)

func main() {
	seatedEntries := []samphirepass.VM{"entry-1", "entry-2", "entry-3"}
	var l lease.Lease
	l.RecordControl(1000)
	fmt.Println("confirmed by control at 1000 ms; valid at 2500 ms:", l.Valid(2500, "entry-1", seatedEntries))
	fmt.Println("valid at 4000 ms:", l.Valid(4000, "entry-1", seatedEntries))
	l.RecordPeer("entry-2", 3900)
	fmt.Println("valid at 4000 ms, after an exchange with entry-2:", l.Valid(4000, "entry-1", seatedEntries))
}
