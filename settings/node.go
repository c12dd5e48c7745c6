package settings

import (
	"fmt"
	"net/netip"
	"os"

	"samphirepass"
	"samphirepass/strict"
)

// The daemons that run on a platform with discovery, where no settings list the other processes.
const (
	RoleGateway   Role = "gateway"
	RoleRegistrar Role = "registrar"
)

// RetryBudget bounds the extra requests to the leaves of one service by all entries together.
type RetryBudget struct {
	// Ratio is the number of extra requests that each request allows.
	Ratio float64 `json:"ratio" validate:"min=0,max=10"`
	// WindowMs is the length of the span in which they are counted.
	WindowMs samphirepass.Millis `json:"window-ms" validate:"required,min=100,max=600000"`
	// Slack is the number that is allowed beside them.
	Slack float64 `json:"slack" validate:"min=0,max=1000000"`
}

// Node is the settings file of a gateway or a registrar.
type Node struct {
	Role       Role                    `json:"role" validate:"required,oneof=gateway registrar"`
	VM         samphirepass.VM         `json:"vm" validate:"required,min=1,max=128"`
	DataCentre samphirepass.DataCentre `json:"data-centre" validate:"required,min=1,max=128"`
	// IP is the VM's own IP number, from which connections to other processes start.
	IP string `json:"ip" validate:"required,ip"`
	// ListenIP is the IP number to listen on, if others reach this process at another one; it may be left out.
	ListenIP string `json:"listen-ip,omitempty" validate:"omitempty,ip"`
	// Front is where clients reach a gateway.
	Front string `json:"front,omitempty" validate:"required_if=Role gateway,omitempty,ip_port"`
	// Ready is where the balancer asks a gateway whether it takes new connections.
	Ready string `json:"ready,omitempty" validate:"required_if=Role gateway,omitempty,ip_port"`
	// Control is where operators and leaves reach a registrar.
	Control string `json:"control,omitempty" validate:"required_if=Role registrar,omitempty,ip_port"`
	// Metrics is where metrics are served.
	Metrics string `json:"metrics" validate:"required,ip_port"`
	// PeerPort is the port on which registrars listen to other processes, the same on all VMs.
	PeerPort uint16 `json:"peer-port" validate:"required"`
	// CollectPort is the port on which gateways take requests over shards from smaller ones, the same on all VMs; 0 for none.
	CollectPort uint16 `json:"collect-port,omitempty"`
	// Cores is the share of the processor that the process has, in cores, 0 if that is not known.
	Cores float64 `json:"cores,omitempty" validate:"min=0,max=4096"`
	// LinkMbps is the speed of the VM's link in megabits a second.
	LinkMbps float64 `json:"link-mbps,omitempty" validate:"min=0,max=10000000"`
	// Seeds are the control addresses of some registrars.
	Seeds []string `json:"seeds" validate:"required,min=1,max=64,dive,ip_port"`
	// Found is set only when the whole system starts for the first time, with empty disks.
	Found bool `json:"found,omitempty"`
	// DataFolder holds the durable state of a registrar; without one it has no vote.
	DataFolder string `json:"data-folder,omitempty" validate:"omitempty,max=4096"`
	// LostDisks is the number of disks that may be lost at once without losing anything acknowledged.
	LostDisks int `json:"lost-disks,omitempty" validate:"min=0,max=16"`
	// RetryBudget bounds extra requests.
	RetryBudget RetryBudget `json:"retry-budget" validate:"required"`
	// StopMs is the time between the signal to stop and the end by force.
	StopMs samphirepass.Millis `json:"stop-ms" validate:"required,min=500,max=600000"`
}

// ReadNode reads and checks one file of a gateway or a registrar.
func ReadNode(path string) (Node, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Node{}, fmt.Errorf("read settings: %w", err)
	}
	n, err := ParseNode(data)
	if err != nil {
		return Node{}, fmt.Errorf("settings %s:\n%w", path, err)
	}
	return n, nil
}

// ParseNode checks the content of a settings file of a gateway or a registrar and reports all faults at once.
func ParseNode(data []byte) (Node, error) {
	var n Node
	if err := strict.Decode(data, &n); err != nil {
		return Node{}, err
	}
	return n, nil
}

// Peer returns the address at which other processes reach a registrar.
func (n Node) Peer() string {
	// The number has been checked.
	a, _ := netip.ParseAddr(n.IP)
	return peerAddress(a, n.PeerPort)
}

// PeerListen returns the address at which a registrar listens to other processes.
func (n Node) PeerListen() string {
	return peerAddress(n.Address(), n.PeerPort)
}

// Collect returns the address at which a gateway takes requests from smaller ones, empty if it takes none.
func (n Node) Collect() string {
	if n.CollectPort == 0 {
		return ""
	}
	return peerAddress(n.Address(), n.CollectPort)
}

// Capacity returns what the process has to work with.
func (n Node) Capacity() samphirepass.Capacity {
	return samphirepass.Capacity{Cores: n.Cores, LinkMbps: n.LinkMbps}
}

// Address returns the IP number that connections to other processes start from.
func (n Node) Address() netip.Addr {
	text := n.ListenIP
	if text == "" {
		text = n.IP
	}
	// The number has been checked.
	a, _ := netip.ParseAddr(text)
	return a
}

// SeedPeers returns the peer addresses of the seeds.
func (n Node) SeedPeers() []string {
	out := make([]string, len(n.Seeds))
	for i, seed := range n.Seeds {
		// The address has been checked.
		a, _ := netip.ParseAddrPort(seed)
		out[i] = peerAddress(a.Addr(), n.PeerPort)
	}
	return out
}

// Voters returns the number of voters with which the loss of LostDisks disks loses nothing.
func (n Node) Voters() int { return 2*n.LostDisks + 1 }

func peerAddress(a netip.Addr, port uint16) string {
	return netip.AddrPortFrom(a, port).String()
}
