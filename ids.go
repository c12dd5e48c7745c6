package samphirepass

// VM names a virtual machine that runs a process of the system.
type VM string

// DataCentre names the data centre of a VM or a leaf.
type DataCentre string

// Leaf names a backend server.
type Leaf string

// Service names a declared service.
type Service string

// Caller names a client account that sends queries or runs.
type Caller string

// Class names a priority class of callers.
type Class string

// Shard numbers a part of an index, from 0 to the shard count of its snapshot minus 1.
type Shard uint32

// Snapshot numbers an index version; a higher number is newer, and 0 means none.
type Snapshot uint64

// RequestID identifies a query or one attempt of it.
type RequestID string

// RunKey is a UUID version 7 that a caller chooses for a request that may not be repeated.
type RunKey string

// ChangeID identifies a change of a resource; resends of the change carry the same ID.
type ChangeID string

// Revision is the index in the replicated log at which a change was applied; 0 means none.
type Revision uint64

// Term numbers the leadership terms of the replicated log.
type Term uint64

// Level numbers the steps by which the content of the replicated log grows: a build of one level reads all that builds of the same and of
// lower levels write there. Builds before there were levels count as level 0.
type Level uint64

// DiskID identifies a formatted data folder; a replaced or wiped disk gets a new one.
type DiskID string

// Incarnation numbers the starts of a leaf; a higher number is a later start.
type Incarnation uint64

// Percent is a share in hundredths.
type Percent float64
