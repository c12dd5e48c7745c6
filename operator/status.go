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

// LeafStatus is the state of one leaf as known to this entry.
type LeafStatus struct {
	Leaf     samphirepass.Leaf      `json:"leaf"`
	Service  samphirepass.Service   `json:"service"`
	State    samphirepass.LeafState `json:"state"`
	Address  string                 `json:"address"`
	Holdings []samphirepass.Holding `json:"holdings"`
}

// StatusBody is the response body with the state of one entry and its view of the system.
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
	for _, reg := range a.Registry.All() {
		body.Leaves = append(body.Leaves, leafStatus(reg))
	}
	web.WriteJSON(w, http.StatusOK, body)
}

func leafStatus(reg leaf.Registration) LeafStatus {
	return LeafStatus{Leaf: reg.Leaf, Service: reg.Service, State: reg.State, Address: reg.Address, Holdings: reg.Holdings}
}

// MemberBody is the request body that adds a control VM.
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
	writeMemberStatus(w, status, err)
}

func (a *API) removeMember(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), changeTimeoutMs.Duration())
	defer cancel()
	status, err := a.Control.RemoveMember(ctx, samphirepass.VM(r.PathValue("vm")))
	writeMemberStatus(w, status, err)
}

func writeMemberStatus(w http.ResponseWriter, status control.Status, err error) {
	if err != nil {
		web.WriteError(w, err)
		return
	}
	web.WriteJSON(w, http.StatusOK, status)
}

// releaseSeat releases the seat of an entry VM that is permanently lost.
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
