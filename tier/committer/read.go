package committer

import (
	"fmt"

	"github.com/pkg/errors"

	"cicadagrade.example/tier"
	"cicadagrade.example/tier/parser"
	"cicadagrade.example/tier/replicator"
	"cicadagrade.example/tier/storer"
)

// handleRead handles the document as read from the store, or the archived audit entry
// that decides whether a swap with a lost reply took effect.
func (c *Change) handleRead(v storer.Value) Action {
	if v.Key() != c.Key() {
		if v.Present() {
			return finish(&Accepted{state: c.next})
		}
		return finish(&Rejected{reason: ReasonConflict})
	}
	if c.swapUnsure {
		return c.readBack(v)
	}
	current, err := decode(v)
	if err != nil && c.fleetState == nil {
		return finish(&Invalid{cause: err})
	}
	return c.buildNext(v, current) // a reconciliation may replace a document that can't be decoded
}

func decode(v storer.Value) (*replicator.State, error) {
	if !v.Present() {
		return nil, nil
	}
	return replicator.Decode(v.Key(), v.Data())
}

// buildNext builds the next state from the current one and returns the first write.
func (c *Change) buildNext(v storer.Value, current *replicator.State) Action {
	c.current = v
	if a := c.checkPreconditions(current); a != nil {
		return a
	}
	var changes []parser.Change
	if c.fleetState != nil {
		c.next = replicator.Reconcile(c.fleetState, current, c.author)
	} else {
		c.next, changes = replicator.NextState(current, c.document, c.author)
	}
	if size := len(c.next.Encode()); size > replicator.MaxStoredBytes {
		return finish(&Invalid{cause: tooLarge("document", size)})
	}
	if a := c.prepareAuxiliary(current, changes); a != nil {
		return a
	}
	return c.nextWrite()
}

// checkPreconditions ends a change that is rejected, invalid or already made.
func (c *Change) checkPreconditions(current *replicator.State) Action {
	if current == nil {
		return c.checkAbsent()
	}
	if _, ok := current.FindChange(c.id); ok {
		return finish(&Accepted{state: current})
	}
	if c.fleetState != nil {
		return nil
	}
	r := current.Ref()
	switch {
	case c.highestServed.NewerThan(r):
		return finish(&Rejected{reason: ReasonStoreBehind, current: current, highestServed: c.highestServed})
	case c.expectedRevision != AnyRevision && uint64(c.expectedRevision) != r.Revision():
		return finish(&Rejected{reason: ReasonConflict, current: current})
	case r.Digest() == parser.Digest(c.document):
		return finish(&Accepted{state: current, unchanged: true})
	}
	if err := checkShardMap(current.Document(), c.document); err != nil {
		return finish(&Invalid{cause: err})
	}
	return nil
}

func (c *Change) checkAbsent() Action {
	switch {
	case c.fleetState != nil:
		return nil
	case c.highestServed.Revision() > 0:
		return finish(&Rejected{reason: ReasonStoreBehind, highestServed: c.highestServed})
	case c.expectedRevision > 0:
		return finish(&Rejected{reason: ReasonConflict})
	}
	return nil
}

// checkShardMap requires a higher epoch for a shard map with other key ranges, because
// replies identify their snapshot by the epoch.
func checkShardMap(before, after parser.Document) error {
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
	case set.Epoch() == old.Epoch() && !sameShardRanges(old, set):
		allowed = fmt.Sprintf("above %d, because the shards divide the keys otherwise", old.Epoch())
	default:
		return nil
	}
	p := tier.NewFieldProblem("epoch", uint64(set.Epoch()), allowed)
	return errors.WithStack(tier.NewInvalidError("set "+set.Name(), []tier.FieldProblem{p}))
}

func sameShardRanges(a, b *tier.ShardSet) bool {
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

// prepareAuxiliary lists the writes that have to precede the swap: a list of changes that
// is too long for the audit tail, and the audit entries that the swap removes from the
// tail.
func (c *Change) prepareAuxiliary(current *replicator.State, changes []parser.Change) Action {
	c.auxiliary = nil
	if c.next.LastEntry().ChangesDetached() {
		if c.fleetState != nil {
			changes = parser.Diff(documentOf(current), c.document)
		}
		b, err := replicator.EncodeChanges(changes)
		if err == nil && len(b) > replicator.MaxStoredBytes {
			err = tooLarge("list of changes", len(b))
		}
		if err != nil {
			return finish(&Invalid{cause: err})
		}
		c.auxiliary = append(c.auxiliary, &Put{key: replicator.ChangesKey(c.Key(), c.id), data: b})
	}
	for _, e := range c.entriesToArchive(current) {
		b, err := e.MarshalJSON()
		if err != nil {
			return finish(&Invalid{cause: err})
		}
		c.auxiliary = append(c.auxiliary, &Put{key: replicator.ArchiveKey(c.Key(), e), data: b})
	}
	return nil
}

// entriesToArchive lists the audit entries that are in no tail after the swap.
func (c *Change) entriesToArchive(current *replicator.State) []replicator.Entry {
	var entries []replicator.Entry
	if current != nil {
		entries = current.Tail()
	}
	if c.fleetState != nil {
		entries = replicator.MergeEntries(c.fleetState.Tail(), entries)
	}
	var out []replicator.Entry
	for _, e := range entries {
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

// readBack handles the document read after a swap whose reply was lost. If the key is
// still at the expected revision, the same swap is sent again: at most one of the two can
// take effect.
func (c *Change) readBack(v storer.Value) Action {
	if v.Revision() == c.current.Revision() {
		return c.nextWrite()
	}
	return c.resolveOverwritten(v)
}

// resolveOverwritten handles a key that has changed since it was read: either by an
// earlier swap of this change, whose reply was lost, or by another change.
func (c *Change) resolveOverwritten(v storer.Value) Action {
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
	case !c.swapUnsure:
		return finish(&Rejected{reason: ReasonConflict, current: current})
	case current == nil || r.NewerThan(current.Ref()):
		return finish(&Unknown{cause: fmt.Errorf("the store shows the document %s, not this change or a later one", describe(current))})
	case current.TailCovers(r.Epoch(), r.Revision()):
		return finish(&Rejected{reason: ReasonConflict, current: current})
	default:
		return &Get{key: replicator.ArchiveKey(c.Key(), c.next.LastEntry())}
	}
}
