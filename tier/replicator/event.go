package replicator

import (
	"fmt"

	"cicadagrade.example/tier/storer"
)

// Event is what a Keeper reacts to.
type Event interface{ event() }

// Listed brings the answer to List: every configuration key of the store.
type Listed struct{ values []storer.Value }

// NewListed returns the event.
func NewListed(values []storer.Value) *Listed { return &Listed{values: values} }

// ListFailed says that the store did not answer List.
type ListFailed struct{}

// Changed brings one change that the watch saw.
type Changed struct{ value storer.Value }

// NewChanged returns the event.
func NewChanged(v storer.Value) *Changed { return &Changed{value: v} }

// WatchEnded says that the watch broke.
type WatchEnded struct{}

// Members names the live VMs: those of this data centre, with this VM, and
// those elsewhere.
type Members struct {
	local  []string
	remote []string
}

// NewMembers returns the event.
func NewMembers(local, remote []string) *Members { return &Members{local: local, remote: remote} }

// Announced brings the refs that another VM publishes.
type Announced struct {
	vm   string
	refs []Ref
}

// NewAnnounced returns the event.
func NewAnnounced(vm string, refs []Ref) *Announced { return &Announced{vm: vm, refs: refs} }

// Fetched brings a VM's answer to Fetch.
type Fetched struct {
	vm      string
	updates []Update
}

// NewFetched returns the event.
func NewFetched(vm string, updates []Update) *Fetched { return &Fetched{vm: vm, updates: updates} }

// FetchFailed says that a VM did not answer Fetch.
type FetchFailed struct{ vm string }

// NewFetchFailed returns the event.
func NewFetchFailed(vm string) *FetchFailed { return &FetchFailed{vm: vm} }

// Tick says that the time given by Next has come.
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

// Action is what a Keeper asks its driver to do.
type Action interface{ action() }

// List asks to read every configuration key of the store: Listed or
// ListFailed follows.
type List struct{}

// Watch asks to watch the configuration keys after a store revision, until
// WatchEnded or EndWatch.
type Watch struct{ from int64 }

// From is the store's revision to start after.
func (a *Watch) From() int64 { return a.from }

// EndWatch asks to end the watch; no WatchEnded follows.
type EndWatch struct{}

// Fetch asks a VM for documents: Fetched or FetchFailed follows.
type Fetch struct {
	vm   string
	have []Ref
}

// VM is the VM to ask.
func (a *Fetch) VM() string { return a.vm }

// Have names the wanted documents with what is held of each; a revision of
// 0 stands for nothing.
func (a *Fetch) Have() []Ref { return a.have }

// Adopted says that a document came into force on this VM.
type Adopted struct{ state *State }

// State is the document's new state.
func (a *Adopted) State() *State { return a.state }

// AlertRaised says that a flag was raised.
type AlertRaised struct{ flag Alert }

// Alert is what was raised.
func (a *AlertRaised) Alert() Alert { return a.flag }

func (*List) action()        {}
func (*Watch) action()       {}
func (*EndWatch) action()    {}
func (*Fetch) action()       {}
func (*Adopted) action()     {}
func (*AlertRaised) action() {}

// AlertKind names what is wrong with a document.
type AlertKind string

// The troubles.
const (
	// StoreBehind: the store shows an older state than this VM serves, or
	// none: it answered stale, restarted empty or was restored.
	StoreBehind AlertKind = "store-behind"
	// Forked: another state with the same or a higher revision does not
	// descend from the one this VM serves.
	Forked AlertKind = "forked"
	// Damaged: a state that was offered can't be read.
	Damaged AlertKind = "damaged"
)

// Alert is a trouble with one document that an operator has to look at. The
// VM goes on serving what it holds.
type Alert struct {
	trouble AlertKind
	served  Ref
	seen    Ref
	source  string
}

// Kind names what is wrong.
func (f Alert) Kind() AlertKind { return f.trouble }

// Served is the state that this VM serves.
func (f Alert) Served() Ref { return f.served }

// Offered is the state that was offered instead; revision 0 stands for none.
func (f Alert) Offered() Ref { return f.seen }

// Source is "store" or the name of the VM that offered it.
func (f Alert) Source() string { return f.source }

// String tells an operator what is wrong, on one line.
func (f Alert) String() string {
	seen := "nothing"
	if f.seen.revision > 0 {
		seen = f.seen.String()
	}
	if f.trouble == Damaged {
		seen = "a document that can't be read"
	}
	return fmt.Sprintf("%s: %s shows %s, this VM serves %s; reconcile %s", f.trouble, f.source, seen, f.served, f.served.key)
}
