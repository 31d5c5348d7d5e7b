package watcher

import (
	"cicadagrade.example/tier"
	"cicadagrade.example/tier/parser"
	"cicadagrade.example/tier/replicator"
)

// view is the configuration in force; it is replaced, never changed.
type view struct {
	documents []*replicator.State
	profiles  *parser.ProfilesDocument
	sets      map[string]*tier.ShardSet
	ordered   []*tier.ShardSet
}

func newView(documents []*replicator.State) *view {
	v := &view{documents: documents, profiles: parser.NewProfilesDocument(), sets: map[string]*tier.ShardSet{}}
	for _, s := range documents {
		switch d := s.Document().(type) {
		case *parser.ProfilesDocument:
			v.profiles = d
		case *parser.SetDocument:
			v.sets[d.Set().Name()] = d.Set()
			v.ordered = append(v.ordered, d.Set())
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
func (w *Watcher) Sets() []*tier.ShardSet { return w.view.Load().ordered }

// Ready reports whether any document is in force.
func (w *Watcher) Ready() bool { return len(w.view.Load().documents) > 0 }

// Changed receives a value after changes came into force. It holds one:
// whoever reads it looks at all that it needs.
func (w *Watcher) Changed() <-chan struct{} { return w.changed.Chan() }

// Document is the stored form of a document in force, as the command line
// reads it to reconcile the store.
func (w *Watcher) Document(key string) ([]byte, bool) {
	for _, s := range w.view.Load().documents {
		if s.Ref().Key() == key {
			return s.Encode(), true
		}
	}
	return nil, false
}

// Status is what operators see of the configuration on this VM.
type Status struct {
	documents []replicator.Ref
	flags     []replicator.Alert
	watcher   bool
	counts    replicator.Counts
}

// Documents names the documents in force, sorted by key.
func (s Status) Documents() []replicator.Ref { return s.documents }

// Alerts lists the troubles that an operator has to look at.
func (s Status) Alerts() []replicator.Alert { return s.flags }

// WatchesStore reports whether this VM watches the store for its data centre.
func (s Status) WatchesStore() bool { return s.watcher }

// Counts counts reads, watches and fetches since the start.
func (s Status) Counts() replicator.Counts { return s.counts }

// Status is the present state.
func (w *Watcher) Status() Status {
	w.lock.Lock()
	defer w.lock.Unlock()
	s := Status{flags: w.keeper.Alerts(), watcher: w.keeper.Watcher(), counts: w.keeper.Counts()}
	for _, d := range w.keeper.Documents() {
		s.documents = append(s.documents, d.Ref())
	}
	return s
}
