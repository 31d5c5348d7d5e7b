package handler

import (
	"context"
	"net/http"

	"github.com/labstack/echo/v4"

	"cicadagrade.example/cicadagraded/owner"
	"cicadagrade.example/tier"
)

// Document describes a configuration document in force on this VM.
type Document struct {
	key      string
	epoch    uint64
	revision uint64
	digest   string
}

// NewDocument returns the description of a document.
func NewDocument(key string, epoch, revision uint64, digest string) Document {
	return Document{key: key, epoch: epoch, revision: revision, digest: digest}
}

// StatusSource provides what the status endpoint shows.
type StatusSource interface {
	Self() tier.VM
	Members() []tier.VM
	Reachable(dataCentre string) bool
	Owners(ctx context.Context) []owner.Status
	Documents() []Document
	// Warnings lists the conditions that need an operator's attention.
	Warnings() []string
}

// statusResponse is the response of GET /v1/status.
type statusResponse struct {
	VM            string           `json:"vm"`
	DataCentre    string           `json:"data-centre"`
	Incarnation   tier.Incarnation `json:"incarnation"`
	State         string           `json:"state"`
	Ready         bool             `json:"ready"`
	Members       []memberStatus   `json:"members"`
	Owners        []ownerStatus    `json:"owners"`
	Configuration []documentStatus `json:"configuration"`
	Warnings      []string         `json:"warnings"`
}

type memberStatus struct {
	VM                  string           `json:"vm"`
	DataCentre          string           `json:"data-centre"`
	Address             string           `json:"address"`
	Incarnation         tier.Incarnation `json:"incarnation"`
	State               string           `json:"state"`
	DataCentreReachable bool             `json:"data-centre-reachable"`
}

type ownerStatus struct {
	Set             string          `json:"set"`
	Owned           bool            `json:"owned"`
	Epoch           tier.Epoch      `json:"epoch"`
	Parts           int             `json:"parts"`
	HedgeTokens     float64         `json:"hedge-tokens"`
	LeafCalls       int             `json:"leaf-calls"`
	ExtraLeafCalls  int             `json:"extra-leaf-calls"`
	RejectedReplies uint64          `json:"rejected-replies"`
	Ranks           []rankStatus    `json:"ranks"`
	Servers         []backendStatus `json:"servers"`
}

type rankStatus struct {
	Rank             string      `json:"rank"`
	Queued           int         `json:"queued"`
	WaitMs           tier.Millis `json:"wait-ms"`
	AdmittedFraction float64     `json:"admitted-fraction"`
	Refused          int         `json:"refused"`
}

type backendStatus struct {
	Server    string      `json:"server"`
	State     string      `json:"state"`
	UsedSlots int         `json:"slots-used"`
	SlotLimit int         `json:"slots-limit"`
	LatencyMs tier.Millis `json:"latency-ms"`
}

type documentStatus struct {
	Key      string `json:"key"`
	Epoch    uint64 `json:"epoch"`
	Revision uint64 `json:"revision"`
	Digest   string `json:"digest"`
}

// showStatus serves GET /v1/status.
func (h *Handler) showStatus(c echo.Context) error {
	s := h.status
	self := s.Self()
	w := statusResponse{
		VM:            self.Name(),
		DataCentre:    self.DataCentre(),
		Incarnation:   self.Incarnation(),
		State:         self.State().String(),
		Ready:         h.tracker.Ready() && h.config.Ready(),
		Members:       []memberStatus{},
		Owners:        []ownerStatus{},
		Configuration: []documentStatus{},
		Warnings:      append([]string{}, s.Warnings()...),
	}
	for _, m := range s.Members() {
		w.Members = append(w.Members, memberStatus{
			VM: m.Name(), DataCentre: m.DataCentre(), Address: m.Address(),
			Incarnation: m.Incarnation(), State: m.State().String(),
			DataCentreReachable: s.Reachable(m.DataCentre()),
		})
	}
	for _, o := range s.Owners(c.Request().Context()) {
		w.Owners = append(w.Owners, wireOwner(o))
	}
	for _, d := range s.Documents() {
		w.Configuration = append(w.Configuration, documentStatus{Key: d.key, Epoch: d.epoch, Revision: d.revision, Digest: d.digest})
	}
	return c.JSON(http.StatusOK, w)
}

func wireOwner(o owner.Status) ownerStatus {
	dispatcher := o.Dispatcher()
	counters := dispatcher.Counters()
	w := ownerStatus{
		Set: o.Set(), Owned: o.Owned, Epoch: o.Epoch(), Parts: o.Parts(),
		HedgeTokens: dispatcher.HedgeTokens(), LeafCalls: counters.Calls(), ExtraLeafCalls: counters.ExtraCalls(),
		RejectedReplies: o.RejectedReplies(), Ranks: []rankStatus{}, Servers: []backendStatus{},
	}
	for _, r := range tier.Ranks {
		w.Ranks = append(w.Ranks, rankStatus{
			Rank: r.String(), Queued: dispatcher.Queued(r), WaitMs: dispatcher.DrainTime(r),
			AdmittedFraction: dispatcher.Threshold().Fraction(r), Refused: counters.Refused(r),
		})
	}
	for _, b := range dispatcher.Servers() {
		w.Servers = append(w.Servers, backendStatus{
			Server: b.Name(), State: b.State().String(), UsedSlots: b.UsedSlots(),
			SlotLimit: b.SlotLimit(), LatencyMs: b.Latency(),
		})
	}
	return w
}
