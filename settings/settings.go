package settings

import (
	"fmt"
	"net/netip"
	"os"

	"samphirepass"
	"samphirepass/policy"
	"samphirepass/quorum"
	"samphirepass/strict"
)

// Role names the daemon that a settings file is for.
type Role string

// The daemons.
const (
	RoleEntry   Role = "entry"
	RoleControl Role = "control"
)

// ControlMember is the address of one control VM.
type ControlMember struct {
	VM      samphirepass.VM `json:"vm" validate:"required,min=1,max=64"`
	Address string          `json:"address" validate:"required,ip_port"`
}

// File is the content of one settings file.
type File struct {
	Role       Role                    `json:"role" validate:"required,oneof=entry control"`
	VM         samphirepass.VM         `json:"vm" validate:"required,min=1,max=64"`
	DataCentre samphirepass.DataCentre `json:"data-centre" validate:"required,min=1,max=64"`
	// API is where callers, operators, leaves and the platform reach the process.
	API string `json:"api" validate:"required,ip_port"`
	// Peer is where the other processes of the system reach it.
	Peer string `json:"peer" validate:"required,ip_port"`
	// PeerListen is where to listen for them, if that is another address than Peer; connections to peers start from its IP number.
	PeerListen string          `json:"peer-listen,omitempty" validate:"omitempty,ip_port"`
	Control    []ControlMember `json:"control" validate:"required,min=1,max=9,unique=VM,dive"`
	// DataFolder holds the durable state of a control VM.
	DataFolder string `json:"data-folder,omitempty" validate:"required_if=Role control,omitempty,min=1,max=4096"`
	// EntrySeats is the number of entry VMs that share the leaves' connections.
	EntrySeats int `json:"entry-seats,omitempty" validate:"required_if=Role control,omitempty,min=1,max=10000"`
	// SnapshotEntries is the length of the log at which a snapshot is taken; it may be left out.
	SnapshotEntries int `json:"snapshot-entries,omitempty" validate:"omitempty,min=10,max=1000000"`
	// Policy picks the decisions of an entry; left out, it is measured.
	Policy policy.Name `json:"policy,omitempty" validate:"omitempty,oneof=measured baseline measured-random-choice measured-no-hedge measured-open-admission"`
	// BalancerNoticeMs is how long an entry goes on after it told the balancer that it stops.
	BalancerNoticeMs samphirepass.Millis `json:"balancer-notice-ms,omitempty" validate:"required_if=Role entry,omitempty,min=1,max=60000"`
}

// Read reads and checks one file.
func Read(path string) (File, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return File{}, fmt.Errorf("read settings: %w", err)
	}
	f, err := Parse(data)
	if err != nil {
		return File{}, fmt.Errorf("settings %s:\n%w", path, err)
	}
	return f, nil
}

// Parse checks the content of a settings file and reports all faults at once.
func Parse(data []byte) (File, error) {
	var f File
	if err := strict.Decode(data, &f); err != nil {
		return File{}, err
	}
	if f.Role == RoleControl && !f.listed() {
		return File{}, strict.FieldErrors{{Line: 1, Path: "control", Problem: "does not list this VM with its peer address", Allowed: fmt.Sprintf("an element with vm %q and address %q", f.VM, f.Peer)}}
	}
	if f.Policy == "" {
		f.Policy = policy.NameMeasured
	}
	if f.PeerListen == "" {
		f.PeerListen = f.Peer
	}
	return f, nil
}

// listed reports whether the file names its own VM among the control members.
func (f File) listed() bool {
	for _, m := range f.Control {
		if m.VM == f.VM && m.Address == f.Peer {
			return true
		}
	}
	return false
}

// PeerIP returns the IP number that connections to peers start from.
func (f File) PeerIP() netip.Addr {
	// The address has been checked; a zero number lets the machine choose.
	a, _ := netip.ParseAddrPort(f.PeerListen)
	return a.Addr()
}

// Members returns the control members.
func (f File) Members() []quorum.Member {
	out := make([]quorum.Member, len(f.Control))
	for i, m := range f.Control {
		out[i] = quorum.Member{VM: m.VM, Address: m.Address}
	}
	return out
}
