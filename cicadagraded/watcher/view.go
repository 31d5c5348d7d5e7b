package watcher

import (
	"cicadagrade.example/tier"
	"cicadagrade.example/tier/parser"
	"cicadagrade.example/tier/replicator"
)

// view is the configuration in force. It is immutable: changes replace it.
type view struct {
	documents  []*replicator.State
	profiles   *parser.ProfilesDocument
	sets       map[string]*tier.ShardSet
	sortedSets []*tier.ShardSet
}

func newView(documents []*replicator.State) *view {
	v := &view{documents: documents, profiles: parser.NewProfilesDocument(), sets: map[string]*tier.ShardSet{}}
	for _, s := range documents {
		switch d := s.Document().(type) {
		case *parser.ProfilesDocument:
			v.profiles = d
		case *parser.SetDocument:
			v.sets[d.Set().Name()] = d.Set()
			v.sortedSets = append(v.sortedSets, d.Set())
		}
	}
	return v
}

// Profile finds a profile in force by name.
func (w *Watcher) Profile(name string) (*tier.Profile, bool) {
	return w.view.Load().profiles.Profile(name)
}

// Profiles lists the profiles in force, sorted by name.
func (w *Watcher) Profiles() []*tier.Profile { return w.view.Load().profiles.Profiles() }

// Set finds a shard set in force by name.
func (w *Watcher) Set(name string) (*tier.ShardSet, bool) {
	s, ok := w.view.Load().sets[name]
	return s, ok
}

// Sets lists the shard sets in force, sorted by name.
func (w *Watcher) Sets() []*tier.ShardSet { return w.view.Load().sortedSets }

// Ready reports whether any document is in force.
func (w *Watcher) Ready() bool { return len(w.view.Load().documents) > 0 }

// Changed receives a value after changes have come into force. It is buffered for one value,
// so several changes may be signalled only once and a reader has to look at the whole
// configuration.
func (w *Watcher) Changed() <-chan struct{} { return w.changed.Chan() }

// Document returns the stored form of a document in force, with which the store can be
// reconciled.
func (w *Watcher) Document(key string) ([]byte, bool) {
	for _, s := range w.view.Load().documents {
		if s.Ref().Key() == key {
			return s.Encode(), true
		}
	}
	return nil, false
}

// Status describes the state of the configuration on this VM for operators.
type Status struct {
	documents    []replicator.Ref
	alerts       []replicator.Alert
	watchesStore bool
	counts       replicator.Counts
}

// Documents lists the documents in force, sorted by key.
func (s Status) Documents() []replicator.Ref { return s.documents }

// Alerts lists the problems that need an operator's attention.
func (s Status) Alerts() []replicator.Alert { return s.alerts }

// WatchesStore reports whether this VM watches the store for its data centre.
func (s Status) WatchesStore() bool { return s.watchesStore }

// Counts returns the number of store reads, store watches and fetches since the start.
func (s Status) Counts() replicator.Counts { return s.counts }

// Status returns the current state.
func (w *Watcher) Status() Status {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := Status{alerts: w.replicator.Alerts(), watchesStore: w.replicator.Watcher(), counts: w.replicator.Counts()}
	for _, d := range w.replicator.Documents() {
		s.documents = append(s.documents, d.Ref())
	}
	return s
}
