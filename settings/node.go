package settings

import (
	"fmt"
	"net/netip"
	"os"

	"samphirepass"
	"samphirepass/strict"
)

// Roles of the daemons for a platform with service discovery. Their settings do not list the other processes.
const (
	RoleGateway   Role = "gateway"
	RoleRegistrar Role = "registrar"
)

// RetryBudget limits the extra requests (hedges and retries) that all gateways together send to the leaves of one service.
type RetryBudget struct {
	// Ratio is the number of extra requests that each first request allows.
	Ratio float64 `json:"ratio" validate:"min=0,max=10"`
	// WindowMs is the length of the sliding window in which requests are counted.
	WindowMs samphirepass.Millis `json:"window-ms" validate:"required,min=100,max=600000"`
	// Slack is the number of extra requests allowed in each window in addition.
	Slack float64 `json:"slack" validate:"min=0,max=1000000"`
}

// Quota states how far the requests of a client account may exceed its quota in any window.
type Quota struct {
	WindowMs samphirepass.Millis `json:"window-ms" validate:"required,min=100,max=600000"`
	// Overage is the fraction of the quota's requests in a window that may run in addition, Slack a number of requests.
	Overage float64 `json:"overage" validate:"min=0,max=10"`
	Slack   float64 `json:"slack" validate:"min=0,max=1000000"`
}

// WarmUp bounds the requests that a cold leaf gets in one second.
type WarmUp struct {
	// Factor times the rate that the leaf's service declares, and Slack requests, are the most that it may get.
	Factor float64 `json:"factor" validate:"min=1,max=100"`
	Slack  float64 `json:"slack" validate:"min=0,max=1000000"`
}

// Node is the settings file of a gateway or a registrar.
type Node struct {
	Role       Role                    `json:"role" validate:"required,oneof=gateway registrar"`
	VM         samphirepass.VM         `json:"vm" validate:"required,min=1,max=128"`
	DataCentre samphirepass.DataCentre `json:"data-centre" validate:"required,min=1,max=128"`
	// IP is the VM's own IP address, at which other processes reach this one.
	IP string `json:"ip" validate:"required,ip"`
	// ListenIP is the local IP address for listening and for connections to other processes, IP if left out.
	ListenIP string `json:"listen-ip,omitempty" validate:"omitempty,ip"`
	// Front is the address at which clients reach a gateway.
	Front string `json:"front,omitempty" validate:"required_if=Role gateway,omitempty,ip_port"`
	// Ready is the address at which the load balancer asks a gateway whether it accepts new connections.
	Ready string `json:"ready,omitempty" validate:"required_if=Role gateway,omitempty,ip_port"`
	// Control is the address at which operators and leaves reach a registrar.
	Control string `json:"control,omitempty" validate:"required_if=Role registrar,omitempty,ip_port"`
	// Metrics is the address at which metrics are served.
	Metrics string `json:"metrics" validate:"required,ip_port"`
	// PeerPort is the port on which registrars listen for other processes, the same on all VMs.
	PeerPort uint16 `json:"peer-port" validate:"required"`
	// CollectPort is the port on which gateways accept scatter-gather requests forwarded by smaller gateways, the same on all VMs;
	// 0 disables it.
	CollectPort uint16 `json:"collect-port,omitempty"`
	// Cores is the CPU share of the process, in cores, 0 if unknown.
	Cores float64 `json:"cores,omitempty" validate:"min=0,max=4096"`
	// LinkMbps is the speed of the VM's network link in Mbit/s.
	LinkMbps float64 `json:"link-mbps,omitempty" validate:"min=0,max=10000000"`
	// Seeds are the control addresses of some registrars.
	Seeds []string `json:"seeds" validate:"required,min=1,max=64,dive,ip_port"`
	// AllowBootstrap allows registrars to bootstrap a new log. It is set only when the whole system starts for the first time, with empty
	// disks.
	AllowBootstrap bool `json:"found,omitempty"`
	// DataFolder holds the durable state of a registrar; a registrar without one is not a voter.
	DataFolder string `json:"data-folder,omitempty" validate:"omitempty,max=4096"`
	// LostDisks is the number of disks that may be lost at once without loss of acknowledged data.
	LostDisks   int         `json:"lost-disks,omitempty" validate:"min=0,max=16"`
	RetryBudget RetryBudget `json:"retry-budget" validate:"required"`
	// StopMs is the time between the stop signal and the forced termination.
	StopMs samphirepass.Millis `json:"stop-ms" validate:"required,min=500,max=600000"`
	// DataCentres are all data centres of the deployment; operators may evacuate these.
	DataCentres []samphirepass.DataCentre `json:"data-centres,omitempty" validate:"max=1000,dive,min=1,max=128"`
	// EvacuateMs is the time after which an evacuation must be in force on all gateways that are not partitioned, 0 if none is declared.
	EvacuateMs samphirepass.Millis `json:"evacuate-ms,omitempty" validate:"min=0,max=600000"`
	// Quota is nil where no client accounts have quotas.
	Quota *Quota `json:"quota,omitempty" validate:"omitempty"`
	// WarmUp is nil where cold leaves have no limit.
	WarmUp *WarmUp `json:"warm-up,omitempty" validate:"omitempty"`
	// MemoryMb is the memory of the process in megabytes, 0 if unknown.
	MemoryMb float64 `json:"memory-mb,omitempty" validate:"min=0,max=100000000"`
	// MaxDescriptors is the number of descriptors that the process may open, 0 if unknown.
	MaxDescriptors int `json:"max-descriptors,omitempty" validate:"min=0,max=100000000"`
	// Balancing determines whether leaves are chosen by their measured speeds, BalancingOff if left out.
	Balancing Balancing `json:"balancing,omitempty" validate:"omitempty,oneof=auto on off"`
}

// Balancing determines whether leaves are chosen by their measured speeds.
type Balancing string

// The values of Balancing.
const (
	// BalancingAuto chooses by measured speeds where they differ.
	BalancingAuto Balancing = "auto"
	BalancingOn   Balancing = "on"
	BalancingOff  Balancing = "off"
)

// ReadNode reads and validates the settings file of a gateway or a registrar at path.
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

// ParseNode validates the content of a settings file of a gateway or a registrar. Its error lists all invalid fields, not only the
// first.
func ParseNode(data []byte) (Node, error) {
	var n Node
	if err := strict.Decode(data, &n); err != nil {
		return Node{}, err
	}
	return n, nil
}

// PeerAddress returns the address at which other processes reach a registrar.
func (n Node) PeerAddress() string {
	// ParseNode has validated the address.
	a, _ := netip.ParseAddr(n.IP)
	return peerAddress(a, n.PeerPort)
}

// PeerListen returns the local address on which a registrar listens for other processes.
func (n Node) PeerListen() string {
	return peerAddress(n.LocalIP(), n.PeerPort)
}

// CollectAddress returns the address at which a gateway accepts requests forwarded by smaller gateways, empty if it accepts none.
func (n Node) CollectAddress() string {
	if n.CollectPort == 0 {
		return ""
	}
	return peerAddress(n.LocalIP(), n.CollectPort)
}

// Capacity returns the CPU share and the link speed of the process.
func (n Node) Capacity() samphirepass.Capacity {
	return samphirepass.Capacity{Cores: n.Cores, LinkMbps: n.LinkMbps}
}

// LocalIP returns the local IP address for listening and for connections to other processes.
func (n Node) LocalIP() netip.Addr {
	text := n.ListenIP
	if text == "" {
		text = n.IP
	}
	// ParseNode has validated the address.
	a, _ := netip.ParseAddr(text)
	return a
}

// SeedPeers returns the peer addresses of the seed registrars.
func (n Node) SeedPeers() []string {
	out := make([]string, len(n.Seeds))
	for i, seed := range n.Seeds {
		// ParseNode has validated the address.
		a, _ := netip.ParseAddrPort(seed)
		out[i] = peerAddress(a.Addr(), n.PeerPort)
	}
	return out
}

// Voters returns the number of voters of which a majority remains after the loss of LostDisks disks.
func (n Node) Voters() int { return 2*n.LostDisks + 1 }

func peerAddress(a netip.Addr, port uint16) string {
	return netip.AddrPortFrom(a, port).String()
}
