package operator

import (
	"context"
	"net/http"

	"samphirepass"
	"samphirepass/control"
	"samphirepass/leaf"
	"samphirepass/ledger"
	"samphirepass/strict"
	"samphirepass/web"
)

// LeafStatus describes one leaf as this entry knows it.
type LeafStatus struct {
	Leaf     samphirepass.Leaf      `json:"leaf"`
	Service  samphirepass.Service   `json:"service"`
	State    samphirepass.LeafState `json:"state"`
	Address  string                 `json:"address"`
	Holdings []samphirepass.Holding `json:"holdings"`
}

// StatusBody describes one entry and what it sees of the system.
type StatusBody struct {
	VM       samphirepass.VM       `json:"vm"`
	Serving  bool                  `json:"serving"`
	Stopping bool                  `json:"stopping"`
	Revision samphirepass.Revision `json:"revision"`
	Seats    []ledger.Seat         `json:"seats"`
	Leaves   []LeafStatus          `json:"leaves"`
	Control  []control.Status      `json:"control"`
}

func (a *API) status(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), (readTimeoutMs / 5).Duration())
	defer cancel()
	cfg := a.Board.Config.Value()
	body := StatusBody{
		VM: a.VM, Serving: a.Serving(), Stopping: a.Board.Stopping.Value(), Revision: cfg.Revision,
		Seats: cfg.Seats, Control: a.Control.Statuses(ctx),
	}
	for _, k := range a.Registry.All() {
		body.Leaves = append(body.Leaves, leafStatus(k))
	}
	web.WriteJSON(w, http.StatusOK, body)
}

func leafStatus(k leaf.Registration) LeafStatus {
	return LeafStatus{Leaf: k.Leaf, Service: k.Service, State: k.State, Address: k.Address, Holdings: k.Holdings}
}

// MemberBody names a control VM to add.
type MemberBody struct {
	VM      samphirepass.VM `json:"vm" validate:"required,min=1,max=64"`
	Address string          `json:"address" validate:"required,ip_port"`
}

func (a *API) addMember(w http.ResponseWriter, r *http.Request) {
	data, err := web.ReadBody(w, r)
	if err != nil {
		web.WriteError(w, err)
		return
	}
	var body MemberBody
	if err := strict.DecodeRequest(data, &body); err != nil {
		web.WriteError(w, err)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), changeTimeoutMs.Duration())
	defer cancel()
	status, err := a.Control.AddMember(ctx, body.VM, body.Address)
	writeStatus(w, status, err)
}

func (a *API) removeMember(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), changeTimeoutMs.Duration())
	defer cancel()
	status, err := a.Control.RemoveMember(ctx, samphirepass.VM(r.PathValue("vm")))
	writeStatus(w, status, err)
}

func writeStatus(w http.ResponseWriter, status control.Status, err error) {
	if err != nil {
		web.WriteError(w, err)
		return
	}
	web.WriteJSON(w, http.StatusOK, status)
}

// releaseSeat frees the seat of an entry VM that is gone for good.
func (a *API) releaseSeat(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), changeTimeoutMs.Duration())
	defer cancel()
	vm := samphirepass.VM(r.PathValue("vm"))
	result, err := a.Control.Propose(ctx, ledger.Command{Seat: &ledger.SeatChange{VM: vm, Release: true}})
	if err != nil {
		web.WriteError(w, err)
		return
	}
	if result.Code != "" {
		web.WriteError(w, samphirepass.Refuse(result.Code, "VM %q holds no seat", vm))
		return
	}
	web.WriteJSON(w, http.StatusOK, struct{}{})
}
