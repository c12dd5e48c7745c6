package ledger

import (
	"encoding/json"

	"samphirepass"
)

// Command is one entry of the replicated log; just one of its pointers is set.
type Command struct {
	// NowMs is the proposer's wall time.
	NowMs         samphirepass.Millis
	Change        *samphirepass.Change `codec:",omitempty"`
	Claim         *Claim               `codec:",omitempty"`
	Outcome       *Outcome             `codec:",omitempty"`
	Seat          *SeatChange          `codec:",omitempty"`
	FinishForming *FinishForming       `codec:",omitempty"`
	// Routing replaces the routing document if its version is higher.
	Routing *samphirepass.RoutingDocument `codec:",omitempty"`
}

// Claim asks for the right to send a run to a leaf.
type Claim struct {
	Service samphirepass.Service
	Caller  samphirepass.Caller
	Key     samphirepass.RunKey
	// KeyMs is the wall time inside the key.
	KeyMs  samphirepass.Millis
	Digest uint64
	// Token names the entry request that asks.
	Token       string
	DeadlineMs  samphirepass.Millis
	RetentionMs samphirepass.Millis
}

// Outcome records how a claimed run ended.
type Outcome struct {
	Key     samphirepass.RunKey
	Token   string
	State   samphirepass.RunState
	Outcome json.RawMessage
}

// SeatChange takes or gives up the seat of an entry VM.
type SeatChange struct {
	VM         samphirepass.VM
	Address    string
	DataCentre samphirepass.DataCentre
	// Process names one life of the entry process; one that has left takes no seat again.
	Process string
	Release bool
}

// FinishForming ends the forming of a new log.
type FinishForming struct {
	// SeatCount is the number of entry VMs that share the leaves' connections.
	SeatCount int
}

// ClaimResult is the answer to a claim.
type ClaimResult struct {
	Granted bool
	Code    samphirepass.Code
	Record  samphirepass.RunRecord
}

// Result is what applying a command gave; just one of its pointers is set.
type Result struct {
	Change *samphirepass.ChangeResult `codec:",omitempty"`
	Claim  *ClaimResult               `codec:",omitempty"`
	// Code names why an outcome or a seat change had no effect.
	Code samphirepass.Code `codec:",omitempty"`
}

// Seat is the place of one entry VM in the sharing of connections.
type Seat struct {
	Number     int
	VM         samphirepass.VM
	Address    string
	DataCentre samphirepass.DataCentre
}

// View is the configuration as entries need it.
type View struct {
	Revision  samphirepass.Revision
	Resources []samphirepass.Resource
	Seats     []Seat
	// SeatCount is the number of seats, taken or free.
	SeatCount int
	// SeatsRevision is the revision of the last seat change.
	SeatsRevision samphirepass.Revision
}
