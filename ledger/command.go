package ledger

import (
	"encoding/json"
	"errors"
	"fmt"

	"github.com/rotisserie/eris"

	"samphirepass"
	"samphirepass/cbor"
)

// Command is the payload of one entry of the replicated log; exactly one of its pointers is set. A new kind is added after all other fields, and
// to commandKinds.
type Command struct {
	// NowMs is the proposer's wall time. The state's own time is the highest NowMs applied so far.
	NowMs         samphirepass.Millis
	Change        *samphirepass.Change `codec:",omitempty"`
	Claim         *Claim               `codec:",omitempty"`
	Outcome       *Outcome             `codec:",omitempty"`
	Seat          *SeatChange          `codec:",omitempty"`
	FinishForming *FinishForming       `codec:",omitempty"`
	// Routing replaces the routing document if its version is higher.
	Routing    *samphirepass.RoutingDocument `codec:",omitempty"`
	Evacuation *EvacuationOrder              `codec:",omitempty"`
	// Level is the lowest whose builds apply the command; the proposer sets it.
	Level samphirepass.Level
}

// ErrUnknownCommand means that a command was written by a later version, and that its kind is not known to this one.
var ErrUnknownCommand = eris.New("the command is of a kind that only a later version knows")

// IsKnown reports whether the command is of a kind that this version applies.
func (c Command) IsKnown() bool {
	_, ok := c.kind()
	return ok
}

// DecodeCommand decodes the payload of a log entry. It returns ErrUnknownCommand rather than a command that would be applied as nothing, and an
// error that wraps cbor.ErrUnknownFields rather than one of which a part would be dropped.
func DecodeCommand(data []byte) (Command, error) {
	var c Command
	err := cbor.UnmarshalKnown(data, &c)
	if errors.Is(err, cbor.ErrUnknownFields) && !c.IsKnown() {
		return c, ErrUnknownCommand
	}
	if err != nil {
		return c, fmt.Errorf("decode command: %w", err)
	}
	return c, nil
}

// Claim requests the exclusive right to send a run to a leaf.
type Claim struct {
	Service samphirepass.Service
	Caller  samphirepass.Caller
	Key     samphirepass.RunKey
	// KeyMs is the wall time encoded in the key.
	KeyMs  samphirepass.Millis
	Digest uint64
	// Token identifies the entry's request; a record is granted to one token at a time.
	Token string
	// DeadlineMs is how long after the grant the run may remain without an outcome before its outcome counts as unknown.
	DeadlineMs samphirepass.Millis
	// RetentionMs is how long after KeyMs the key may be claimed and its record is kept.
	RetentionMs samphirepass.Millis
}

// Outcome records how a claimed run ended.
type Outcome struct {
	Key     samphirepass.RunKey
	Token   string
	State   samphirepass.RunState
	Outcome json.RawMessage
}

// SeatChange takes or releases the seat of an entry VM.
type SeatChange struct {
	VM         samphirepass.VM
	Address    string
	DataCentre samphirepass.DataCentre
	// Process identifies one start of the entry process; a process that released its seat cannot take one again.
	Process string
	Release bool
}

// FinishForming ends the forming phase of a new log, in which changes, claims, routing documents and evacuations are refused.
type FinishForming struct {
	// SeatCount is the number of entry VMs that share the leaves' connections.
	SeatCount int
}

// ClaimResult is the answer to a claim. If the claim is neither granted nor refused with a code,
// Record is the record of the run that holds the key.
type ClaimResult struct {
	Granted bool
	Code    samphirepass.Code
	Record  samphirepass.RunRecord
}

// Result is the result of applying a command; at most one of its pointers is set.
type Result struct {
	Change *samphirepass.ChangeResult `codec:",omitempty"`
	Claim  *ClaimResult               `codec:",omitempty"`
	// Code is the reason why an outcome, a seat change, a routing document or an evacuation was refused, or empty if it was not.
	Code samphirepass.Code `codec:",omitempty"`
}

// Seat is the place of one entry VM among those that share the leaves' connections.
type Seat struct {
	Number     int
	VM         samphirepass.VM
	Address    string
	DataCentre samphirepass.DataCentre
}

// View is the configuration that entries receive.
type View struct {
	Revision  samphirepass.Revision
	Resources []samphirepass.Resource
	Seats     []Seat
	// SeatCount is the number of seats, taken or free.
	SeatCount int
	// SeatsRevision is the revision of the last seat change.
	SeatsRevision samphirepass.Revision
}
