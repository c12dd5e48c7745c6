package control

import (
	"samphirepass"
	"samphirepass/ledger"
	"samphirepass/quorum"
)

// The kinds of requests and one-way messages that a control process handles.
const (
	kindRaft    = "raft"
	kindHello   = "hello"
	kindSync    = "sync"
	kindPropose = "propose"
	kindRead    = "read"
	kindRun     = "run"
	kindMembers = "members"
	kindStatus  = "status"
	kindLeave   = "leave"

	kindPutRouting = "put-routing"
	kindGetRouting = "get-routing"

	kindSetEvacuation = "set-evacuation"
	kindReadState     = "read-state"
)

// diskState is the most advanced state in which a member has seen the disk of another one.
type diskState struct {
	Term samphirepass.Term
	// LogTerm and Index belong to the last entry that the disk is known to have held.
	LogTerm samphirepass.Term
	Index   samphirepass.Revision
}

// helloRequest introduces the disk of a process to the other members.
type helloRequest struct {
	VM      samphirepass.VM
	Address string
	Disk    samphirepass.DiskID
	// Level is the highest that the process reads.
	Level samphirepass.Level
}

type helloReply struct {
	VM          samphirepass.VM
	Initialised bool
	// Seen is the state in which the replying member has seen the requesting disk.
	Seen diskState
	// Leads is set if the replying member leads and a majority that excludes the requesting disk has confirmed it.
	Leads bool
	// Diskless is set if the replying process has no data folder, so that it never becomes a member.
	Diskless bool
	// Members is the membership known to the replying process.
	Members quorum.Members

	// address is the peer address that the request was sent to; it is not part of the message.
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

type setEvacuationRequest struct {
	Order ledger.EvacuationOrder
}

type setEvacuationReply struct {
	Evacuations samphirepass.Evacuations
}

// readStateRequest asks for what the leader has applied.
type readStateRequest struct {
	// DataCentre is that of which to return the last evacuation order.
	DataCentre samphirepass.DataCentre
}

// readStateReply is confirmed by a majority after the request arrived.
type readStateReply struct {
	RoutingVersion      samphirepass.RoutingVersion
	EvacuationsRevision samphirepass.Revision
	// OrderedAt is the index of the last evacuation order for the data centre of the request.
	OrderedAt samphirepass.Revision
}

// SyncRequest asks for the configuration after AppliedRevision, which it also reports as in force on the entry.
type SyncRequest struct {
	VM         samphirepass.VM
	Address    string
	DataCentre samphirepass.DataCentre
	// Process is a unique id of the running entry process; a restart has another.
	Process         string
	AppliedRevision samphirepass.Revision
}

// SyncReply is the configuration at a revision that a majority confirmed after the request arrived.
type SyncReply struct {
	Revision samphirepass.Revision
	// Full is set if View holds all resources; otherwise Events holds the changes since the requested revision.
	Full   bool
	View   ledger.View
	Events []samphirepass.ResourceEvent
	// Members is the current membership of control, which may differ from the configured one.
	Members quorum.Members
}

// proposeRequest asks the leader to commit one command.
type proposeRequest struct {
	Command ledger.Command
}

// readRequest asks for a linearizable read of resources; an empty name asks for all resources of the kind.
type readRequest struct {
	Kind samphirepass.Kind
	Name string
}

// ReadReply holds resources as of Revision, which a majority confirmed after the request arrived.
type ReadReply struct {
	Revision  samphirepass.Revision
	Resources []samphirepass.Resource
}

type runRequest struct {
	Key samphirepass.RunKey
}

// RunReply holds the run record of a key, if there is one, confirmed by a majority after the request arrived.
type RunReply struct {
	Found  bool
	Record samphirepass.RunRecord
}

type membersRequest struct {
	Add    quorum.Member
	Remove samphirepass.VM
}

type statusRequest struct{}

// Status is the state of one control member as it sees itself.
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
	// Level is the highest that this member reads, LogLevel the lowest of all members: no command of a higher level is proposed.
	Level    samphirepass.Level `json:"level"`
	LogLevel samphirepass.Level `json:"log_level"`
	// Version and Build tell which build the process runs.
	Version string `json:"version"`
	Build   string `json:"build"`
}
