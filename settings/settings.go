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

// Role is the daemon that a settings file configures.
type Role string

// Daemons whose settings list the control members.
const (
	RoleEntry   Role = "entry"
	RoleControl Role = "control"
)

// ControlMember is a control VM with its peer address.
type ControlMember struct {
	VM      samphirepass.VM `json:"vm" validate:"required,min=1,max=64"`
	Address string          `json:"address" validate:"required,ip_port"`
}

// File is the settings file of an entry or a control VM.
type File struct {
	Role       Role                    `json:"role" validate:"required,oneof=entry control"`
	VM         samphirepass.VM         `json:"vm" validate:"required,min=1,max=64"`
	DataCentre samphirepass.DataCentre `json:"data-centre" validate:"required,min=1,max=64"`
	// API is the address at which callers, operators, leaves and the platform reach the process.
	API string `json:"api" validate:"required,ip_port"`
	// Peer is the address at which the other processes of the system reach it.
	Peer string `json:"peer" validate:"required,ip_port"`
	// PeerListen is the local address to listen on for peers, Peer if left out. Connections to peers start from its IP address.
	PeerListen string          `json:"peer-listen,omitempty" validate:"omitempty,ip_port"`
	Control    []ControlMember `json:"control" validate:"required,min=1,max=9,unique=VM,dive"`
	// DataFolder holds the durable state of a control VM.
	DataFolder string `json:"data-folder,omitempty" validate:"required_if=Role control,omitempty,min=1,max=4096"`
	// EntrySeats is the number of seats for entry VMs, among which the connections to each leaf are divided.
	EntrySeats int `json:"entry-seats,omitempty" validate:"required_if=Role control,omitempty,min=1,max=10000"`
	// SnapshotEntries is the number of log entries at which a snapshot is taken; 0 selects the default of the control package.
	SnapshotEntries int `json:"snapshot-entries,omitempty" validate:"omitempty,min=10,max=1000000"`
	// Policy selects the policies of an entry, policy.NameMeasured if left out.
	Policy policy.Name `json:"policy,omitempty" validate:"omitempty,oneof=measured baseline measured-random-choice measured-no-hedge measured-open-admission"`
	// MemoryMb is the memory of the process in megabytes, MaxDescriptors the number of descriptors that it may open, 0 if unknown.
	MemoryMb       float64 `json:"memory-mb,omitempty" validate:"min=0,max=100000000"`
	MaxDescriptors int     `json:"max-descriptors,omitempty" validate:"min=0,max=100000000"`
	// BalancerNoticeMs is how long an entry keeps serving after it has told the load balancer that it is stopping.
	BalancerNoticeMs samphirepass.Millis `json:"balancer-notice-ms,omitempty" validate:"required_if=Role entry,omitempty,min=1,max=60000"`
}

// Read reads and validates the settings file at path.
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

// Parse validates the content of a settings file and sets defaults. Its error lists all invalid fields, not only the first.
func Parse(data []byte) (File, error) {
	var f File
	if err := strict.Decode(data, &f); err != nil {
		return File{}, err
	}
	if f.Role == RoleControl && !f.listsOwnVM() {
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

// listsOwnVM reports whether the control members include this VM with its peer address.
func (f File) listsOwnVM() bool {
	for _, m := range f.Control {
		if m.VM == f.VM && m.Address == f.Peer {
			return true
		}
	}
	return false
}

// PeerIP returns the IP address that connections to peers start from. If it is unspecified, the operating system selects one.
func (f File) PeerIP() netip.Addr {
	// Parse has validated the address.
	a, _ := netip.ParseAddrPort(f.PeerListen)
	return a.Addr()
}

// Members returns the control members in the form of package quorum.
func (f File) Members() []quorum.Member {
	out := make([]quorum.Member, len(f.Control))
	for i, m := range f.Control {
		out[i] = quorum.Member{VM: m.VM, Address: m.Address}
	}
	return out
}
