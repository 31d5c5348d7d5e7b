package committer

import (
	"fmt"

	"github.com/pkg/errors"

	"cicadagrade.example/tier"
	"cicadagrade.example/tier/parser"
	"cicadagrade.example/tier/replicator"
	"cicadagrade.example/tier/storer"
)

// read handles the document as the store shows it, or an archived entry that
// settles a lost answer.
func (c *Change) read(v storer.Value) Action {
	if v.Key() != c.Key() {
		if v.Present() {
			return finish(&Accepted{state: c.next})
		}
		return finish(&Rejected{reason: ReasonConflict})
	}
	if c.unsure {
		return c.readBack(v)
	}
	current, err := decode(v)
	if err != nil && c.fleet == nil {
		return finish(&Invalid{cause: err})
	}
	return c.propose(v, current) // a reconciliation replaces what can't be read
}

func decode(v storer.Value) (*replicator.State, error) {
	if !v.Present() {
		return nil, nil
	}
	return replicator.Decode(v.Key(), v.Data())
}

// propose builds the next state on the current one.
func (c *Change) propose(v storer.Value, current *replicator.State) Action {
	c.base = v
	if a := c.check(current); a != nil {
		return a
	}
	var changes []parser.Change
	if c.fleet != nil {
		c.next = replicator.Reconcile(c.fleet, current, c.author)
	} else {
		c.next, changes = replicator.NextState(current, c.document, c.author)
	}
	if size := len(c.next.Encode()); size > replicator.MaxStoredBytes {
		return finish(&Invalid{cause: tooLarge("document", size)})
	}
	if a := c.prepare(current, changes); a != nil {
		return a
	}
	return c.write()
}

// check ends a change that must not or need not be made.
func (c *Change) check(current *replicator.State) Action {
	if current == nil {
		return c.checkAbsent()
	}
	if _, ok := current.FindChange(c.id); ok {
		return finish(&Accepted{state: current})
	}
	if c.fleet != nil {
		return nil
	}
	r := current.Ref()
	switch {
	case c.floor.NewerThan(r):
		return finish(&Rejected{reason: ReasonStoreBehind, current: current, floor: c.floor})
	case c.expect != AnyRevision && uint64(c.expect) != r.Revision():
		return finish(&Rejected{reason: ReasonConflict, current: current})
	case r.Digest() == parser.Digest(c.document):
		return finish(&Accepted{state: current, unchanged: true})
	}
	if err := checkMap(current.Document(), c.document); err != nil {
		return finish(&Invalid{cause: err})
	}
	return nil
}

func (c *Change) checkAbsent() Action {
	switch {
	case c.fleet != nil:
		return nil
	case c.floor.Revision() > 0:
		return finish(&Rejected{reason: ReasonStoreBehind, floor: c.floor})
	case c.expect > 0:
		return finish(&Rejected{reason: ReasonConflict})
	}
	return nil
}

// checkMap demands a higher epoch for a shard map that divides the keys
// otherwise, because answers name the snapshot by it.
func checkMap(before, after parser.Document) error {
	b, ok := before.(*parser.SetDocument)
	a, both := after.(*parser.SetDocument)
	if !ok || !both {
		return nil
	}
	old, set := b.Set(), a.Set()
	allowed := ""
	switch {
	case set.Epoch() < old.Epoch():
		allowed = fmt.Sprintf("at least %d, the present epoch", old.Epoch())
	case set.Epoch() == old.Epoch() && !sameMap(old, set):
		allowed = fmt.Sprintf("above %d, because the shards divide the keys otherwise", old.Epoch())
	default:
		return nil
	}
	p := tier.NewFieldProblem("epoch", uint64(set.Epoch()), allowed)
	return errors.WithStack(tier.NewInvalidError("set "+set.Name(), []tier.FieldProblem{p}))
}

func sameMap(a, b *tier.ShardSet) bool {
	if len(a.Shards()) != len(b.Shards()) {
		return false
	}
	bounds := map[string][2]uint64{}
	for _, h := range a.Shards() {
		bounds[h.ID()] = [2]uint64{h.From(), h.To()}
	}
	for _, h := range b.Shards() {
		if bounds[h.ID()] != [2]uint64{h.From(), h.To()} {
			return false
		}
	}
	return true
}

// prepare lists the writes that come before the swap: the changes that are
// too long for the tail, and the entries that the swap takes from the tail.
func (c *Change) prepare(current *replicator.State, changes []parser.Change) Action {
	c.pending = nil
	if c.next.LastEntry().ChangesDetached() {
		if c.fleet != nil {
			changes = parser.Diff(documentOf(current), c.document)
		}
		b, err := replicator.EncodeChanges(changes)
		if err == nil && len(b) > replicator.MaxStoredBytes {
			err = tooLarge("list of changes", len(b))
		}
		if err != nil {
			return finish(&Invalid{cause: err})
		}
		c.pending = append(c.pending, &Put{key: replicator.ChangesKey(c.Key(), c.id), data: b})
	}
	for _, e := range c.leaving(current) {
		b, err := e.MarshalJSON()
		if err != nil {
			return finish(&Invalid{cause: err})
		}
		c.pending = append(c.pending, &Put{key: replicator.ArchiveKey(c.Key(), e), data: b})
	}
	return nil
}

// leaving lists the entries that are in no tail after the swap.
func (c *Change) leaving(current *replicator.State) []replicator.Entry {
	var held []replicator.Entry
	if current != nil {
		held = current.Tail()
	}
	if c.fleet != nil {
		held = replicator.MergeEntries(c.fleet.Tail(), held)
	}
	var out []replicator.Entry
	for _, e := range held {
		if _, ok := c.next.FindChange(e.ChangeID()); !ok {
			out = append(out, e)
		}
	}
	return out
}

func documentOf(s *replicator.State) parser.Document {
	if s == nil {
		return nil
	}
	return s.Document()
}

func tooLarge(what string, size int) error {
	p := tier.NewFieldProblem("document", fmt.Sprintf("%s of %d bytes", what, size), "at most 921600 bytes in the store; split the change")
	return errors.WithStack(tier.NewInvalidError("change", []tier.FieldProblem{p}))
}

// readBack settles a swap whose answer was lost. While the key is as the
// swap expected it, the same swap is sent again: at most one of them can
// take effect.
func (c *Change) readBack(v storer.Value) Action {
	if v.Revision() == c.base.Revision() {
		return c.write()
	}
	return c.lost(v)
}

// lost handles a key that has changed since it was read: by this change,
// whose answer was lost, or by another.
func (c *Change) lost(v storer.Value) Action {
	current, err := decode(v)
	if err != nil {
		return finish(&Unknown{cause: err})
	}
	if current != nil {
		if _, ok := current.FindChange(c.id); ok {
			return finish(&Accepted{state: current})
		}
	}
	r := c.next.Ref()
	switch {
	case !c.unsure:
		return finish(&Rejected{reason: ReasonConflict, current: current})
	case current == nil || r.NewerThan(current.Ref()):
		return finish(&Unknown{cause: fmt.Errorf("the store shows the document %s, below this change", describe(current))})
	case current.TailCovers(r.Epoch(), r.Revision()):
		return finish(&Rejected{reason: ReasonConflict, current: current})
	default:
		return &Get{key: replicator.ArchiveKey(c.Key(), c.next.LastEntry())}
	}
}
