package replicator

import (
	"fmt"

	"cicadagrade.example/tier/storer"
)

// Event is an input of Replicator.Step.
type Event interface{ event() }

// Listed gives the result of List: the values of all configuration keys in the store.
type Listed struct{ values []storer.Value }

// NewListed returns the event.
func NewListed(values []storer.Value) *Listed { return &Listed{values: values} }

// ListFailed says that List failed.
type ListFailed struct{}

// Changed gives one change reported by the watch.
type Changed struct{ value storer.Value }

// NewChanged returns the event.
func NewChanged(v storer.Value) *Changed { return &Changed{value: v} }

// WatchEnded says that the watch broke off.
type WatchEnded struct{}

// Members gives the live VMs: those of this data centre, including this VM, and those of
// other data centres.
type Members struct {
	local  []string
	remote []string
}

// NewMembers returns the event.
func NewMembers(local, remote []string) *Members { return &Members{local: local, remote: remote} }

// Announced gives the document versions that another VM announces.
type Announced struct {
	vm   string
	refs []Ref
}

// NewAnnounced returns the event.
func NewAnnounced(vm string, refs []Ref) *Announced { return &Announced{vm: vm, refs: refs} }

// Fetched gives a VM's reply to Fetch.
type Fetched struct {
	vm      string
	updates []Update
}

// NewFetched returns the event.
func NewFetched(vm string, updates []Update) *Fetched { return &Fetched{vm: vm, updates: updates} }

// FetchFailed says that a VM did not reply to Fetch.
type FetchFailed struct{ vm string }

// NewFetchFailed returns the event.
func NewFetchFailed(vm string) *FetchFailed { return &FetchFailed{vm: vm} }

// Tick says that the time given by Replicator.Next has come.
type Tick struct{}

func (*Listed) event()      {}
func (*ListFailed) event()  {}
func (*Changed) event()     {}
func (*WatchEnded) event()  {}
func (*Members) event()     {}
func (*Announced) event()   {}
func (*Fetched) event()     {}
func (*FetchFailed) event() {}
func (*Tick) event()        {}

// Action is an output of Replicator.Step, to be performed by the caller.
type Action interface{ action() }

// List asks to read all configuration keys from the store. Listed or ListFailed follows.
type List struct{}

// Watch asks to watch the configuration keys for changes after a store revision, until
// WatchEnded or EndWatch.
type Watch struct{ from int64 }

// From is the store revision after which the watch starts.
func (a *Watch) From() int64 { return a.from }

// EndWatch asks to end the watch. No WatchEnded follows.
type EndWatch struct{}

// Fetch asks to fetch documents from a VM. Fetched or FetchFailed follows.
type Fetch struct {
	vm   string
	have []Ref
}

// VM is the VM to fetch from.
func (a *Fetch) VM() string { return a.vm }

// Have lists the wanted documents, each with the version that this VM holds; revision 0
// means that it holds none.
func (a *Fetch) Have() []Ref { return a.have }

// Adopted says that this VM now serves a new state of a document.
type Adopted struct{ state *State }

// State is the new state of the document.
func (a *Adopted) State() *State { return a.state }

// AlertRaised says that a new alert was raised.
type AlertRaised struct{ alert Alert }

// Alert is the alert.
func (a *AlertRaised) Alert() Alert { return a.alert }

func (*List) action()        {}
func (*Watch) action()       {}
func (*EndWatch) action()    {}
func (*Fetch) action()       {}
func (*Adopted) action()     {}
func (*AlertRaised) action() {}

// AlertKind is the kind of problem with a document.
type AlertKind string

// The kinds of alert.
const (
	// StoreBehind: the store shows an older state than this VM serves, or none. It served
	// a stale read, was restarted empty or was restored from a backup.
	StoreBehind AlertKind = "store-behind"
	// Forked: a state with the same or a higher revision was offered that does not
	// descend from the one this VM serves.
	Forked AlertKind = "forked"
	// Damaged: a state was offered that can't be decoded.
	Damaged AlertKind = "damaged"
)

// Alert is a problem with one document that an operator has to look at. The VM continues
// to serve the state that it holds.
type Alert struct {
	kind    AlertKind
	served  Ref
	offered Ref
	source  string
}

// Kind is the kind of problem.
func (a Alert) Kind() AlertKind { return a.kind }

// Served is the version that this VM serves.
func (a Alert) Served() Ref { return a.served }

// Offered is the version that was offered instead; revision 0 means none.
func (a Alert) Offered() Ref { return a.offered }

// Source is "store", or the name of the VM that offered the state.
func (a Alert) Source() string { return a.source }

// String describes the problem to an operator, on one line.
func (a Alert) String() string {
	offered := "nothing"
	if a.offered.revision > 0 {
		offered = a.offered.String()
	}
	if a.kind == Damaged {
		offered = "a document that can't be read"
	}
	return fmt.Sprintf("%s: %s shows %s, this VM serves %s; reconcile %s", a.kind, a.source, offered, a.served, a.served.key)
}
