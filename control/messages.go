package control

import (
	"samphirepass"
	"samphirepass/ledger"
	"samphirepass/quorum"
)

// The kinds of requests and one-way messages that a control VM serves.
const (
	kindRaft    = "raft"
	kindHello   = "hello"
	kindSync    = "sync"
	kindPropose = "propose"
	kindRead    = "read"
	kindRun     = "run"
	kindMembers = "members"
	kindStatus  = "status"

	kindPutRouting = "put-routing"
	kindGetRouting = "get-routing"
)

// diskState is the most advanced state that a member was ever heard to have from one disk.
type diskState struct {
	Term samphirepass.Term
	// LogTerm and Index are of the last entry that the disk was known to hold.
	LogTerm samphirepass.Term
	Index   samphirepass.Revision
}

// helloRequest introduces a disk to the other members before it takes part.
type helloRequest struct {
	VM      samphirepass.VM
	Address string
	Disk    samphirepass.DiskID
}

type helloReply struct {
	VM          samphirepass.VM
	Initialised bool
	Seen        diskState
	// Leads is set where the member leads a majority that does not count the disk that asks.
	Leads bool
	// Diskless is set where the process has no data folder and never becomes a member.
	Diskless bool
	// Members is the membership that the member knows.
	Members quorum.Members

	// address is where the reply came from.
	address string
}

type putRoutingRequest struct {
	Document samphirepass.RoutingDocument
}

type putRoutingReply struct{}

type getRoutingRequest struct{}

type getRoutingReply struct {
	Document samphirepass.RoutingDocument
}

// SyncRequest asks for the configuration after Have; it also tells that Have is in force on the entry.
type SyncRequest struct {
	VM         samphirepass.VM
	Address    string
	DataCentre samphirepass.DataCentre
	// Process names this life of the entry process.
	Process         string
	AppliedRevision samphirepass.Revision
}

// SyncReply is the configuration at a revision that a majority confirmed after the request came in.
type SyncReply struct {
	Revision samphirepass.Revision
	// Full is set where View holds all resources, and not only Events since the request's revision.
	Full   bool
	View   ledger.View
	Events []samphirepass.ResourceEvent
	// Members is the present membership of control, which may have left what settings name behind.
	Members quorum.Members
}

// proposeRequest asks the leader to commit one command.
type proposeRequest struct {
	Command ledger.Command
}

// readRequest asks for resources at a confirmed revision; an empty name asks for all of a kind.
type readRequest struct {
	Kind samphirepass.Kind
	Name string
}

// ReadReply is a confirmed read of resources.
type ReadReply struct {
	Revision  samphirepass.Revision
	Resources []samphirepass.Resource
}

type runRequest struct {
	Key samphirepass.RunKey
}

// RunReply is a confirmed read of one run record.
type RunReply struct {
	Found  bool
	Record samphirepass.RunRecord
}

type membersRequest struct {
	Add    quorum.Member
	Remove samphirepass.VM
}

type statusRequest struct{}

// Status describes one control member as it sees itself.
type Status struct {
	VM      samphirepass.VM       `json:"vm"`
	Disk    samphirepass.DiskID   `json:"disk"`
	Role    quorum.Role           `json:"role"`
	Term    samphirepass.Term     `json:"term"`
	Leader  samphirepass.VM       `json:"leader"`
	Commit  samphirepass.Revision `json:"commit"`
	Last    samphirepass.Revision `json:"last"`
	Formed  bool                  `json:"formed"`
	Members quorum.Members        `json:"members"`
	Seats   []ledger.Seat         `json:"seats"`
}
