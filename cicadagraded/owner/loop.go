package owner

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"cicadagrade.example/tier"
	"cicadagrade.example/tier/dispatcher"
	"cicadagrade.example/tier/merger"
)

// idleWait bounds how long the loop sleeps when nothing is due.
const idleWait = 1 * tier.Second

// Run drives the owner until ctx ends.
func (o *Owner) Run(ctx context.Context) error {
	o.group, o.ctx = errgroup.WithContext(ctx)
	o.openLanes()
	o.group.Go(o.loop)
	return errors.Wrap(o.group.Wait(), "Owner.Run")
}

func (o *Owner) loop() error {
	defer close(o.stopped)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-o.ctx.Done():
			return nil
		case m := <-o.inbox.Chan():
			o.handle(m)
		case <-timer.C:
			o.tick()
		}
		o.handleDeferred()
		timer.Reset(o.wait().Duration())
	}
}

// handleDeferred handles what the loop told itself.
func (o *Owner) handleDeferred() {
	for len(o.deferred) > 0 {
		m := o.deferred[0]
		o.deferred = o.deferred[1:]
		o.handle(m)
	}
}

// wait is the time until something is due.
func (o *Owner) wait() tier.Millis {
	now := o.clock.Now()
	due := min(now+idleWait, o.reportAt)
	if next, ok := o.core.NextTick(); ok {
		due = min(due, next)
	}
	if next, ok := o.nextProbe(); ok {
		due = min(due, next)
	}
	if len(o.early) > 0 {
		due = min(due, o.warmAt)
	}
	if len(o.cancels) > 0 {
		due = min(due, o.cancels[0].at)
	}
	return max(due-now, 0)
}

func (o *Owner) tick() {
	now := o.clock.Now()
	if next, ok := o.core.NextTick(); ok && next <= now {
		o.step(&dispatcher.Tick{})
	}
	o.tickProbers(now)
	if now >= o.warmAt {
		o.submitEarly()
	}
	o.cancelDue(now)
	if now >= o.reportAt {
		o.report(now)
	}
}

func (o *Owner) handle(m message) {
	switch m := m.(type) {
	case *submitMessage:
		o.submit(m)
	case *cancelMessage:
		o.cancelPart(m.end)
	case *repliedMessage:
		o.replied(m)
	case *healthMessage:
		o.healthCame(m)
	case *setMessage:
		o.setChanged(m.set)
	case *shareMessage:
		o.placed(m.index)
		o.step(dispatcher.NewShareChanged(m.owners, m.index))
	case *standbyMessage:
		o.placed(-1)
		o.step(&dispatcher.Standby{})
	case *statusMessage:
		m.reply <- o.status()
	}
}

// placed notes the owner's place among those that split the slots, and has it
// report again.
func (o *Owner) placed(index int) {
	o.index = index
	o.published = Report{}
	o.reportAt = 0
}

// submit hands a part to the dispatcher. The first parts of a new owner wait
// until it knows what its servers hold.
func (o *Owner) submit(m *submitMessage) {
	if len(o.unheard) > 0 && o.clock.Now() < o.warmAt {
		if len(o.early) == inboxSize {
			m.end <- &NotRun{reason: tier.RefuseOverload, retryAfter: warmLimit}
			return
		}
		o.early = append(o.early, m)
		return
	}
	o.submitNow(m)
}

// heard notes that a server's health was read, or could not be.
func (o *Owner) heard(server string) {
	delete(o.unheard, server)
	if len(o.unheard) == 0 {
		o.submitEarly()
	}
}

func (o *Owner) submitEarly() {
	early := o.early
	o.early = nil
	for _, m := range early {
		o.submitNow(m)
	}
}

func (o *Owner) submitNow(m *submitMessage) {
	o.lastPart++
	p := &part{number: o.lastPart, end: m.end}
	o.parts[p.number] = p
	o.byEnd[p.end] = p.number
	if b := m.booking; b != nil {
		p.booking = b
		o.step(dispatcher.NewSubmit(p.number, b.profile, b.deadline, []string{b.shard}, dispatcher.NonIdempotent()))
		return
	}
	s := m.search
	p.snapshot = s.snapshot
	p.term = s.term
	o.step(dispatcher.NewSubmit(p.number, s.profile, s.deadline, s.shards, dispatcher.WithSnapshot(s.snapshot)))
}

func (o *Owner) cancelPart(end chan PartResult) {
	if n, ok := o.byEnd[end]; ok {
		o.step(dispatcher.NewCancelled(n))
		return
	}
	for i, m := range o.early {
		if m.end == end {
			o.early = slices.Delete(o.early, i, i+1)
			end <- &NotRun{reason: tier.RefuseCallerGone}
			return
		}
	}
}

// replied tells the dispatcher and the prober how a leaf call ended.
func (o *Owner) replied(m *repliedMessage) {
	c, ok := o.calls[m.attempt]
	if !ok {
		return
	}
	c.records = m.records
	c.receipt = m.receipt
	c.over = true
	if c.lane != nil {
		c.lane.closed()
	}
	if m.rejected {
		o.rejected++
	}
	o.replySign(c.server, m)
	if m.holding != nil {
		o.noteHolding(c.server, *m.holding)
	}
	if _, waiting := o.parts[c.part]; !waiting {
		delete(o.calls, m.attempt)
	}
	o.step(dispatcher.NewCallEnded(m.attempt, m.result))
}

// noteHolding passes on what a server holds, if it is news.
func (o *Owner) noteHolding(server string, h HeldVersions) {
	k := holdingKey{server: server, shard: h.shard, epoch: h.epoch}
	if slices.Equal(o.holdings[k], h.versions) {
		return
	}
	o.holdings[k] = h.versions
	o.step(dispatcher.NewHoldingChanged(server, h.shard, h.epoch, h.versions))
}

// step drives the dispatcher and does what it asks for.
func (o *Owner) step(e dispatcher.Event) {
	for _, a := range o.core.Step(o.clock.Now(), e) {
		o.act(a)
	}
}

func (o *Owner) act(a dispatcher.Action) {
	switch a := a.(type) {
	case *dispatcher.Call:
		o.call(a)
	case *dispatcher.CancelCall:
		o.cancelCall(a.Attempt())
	case *dispatcher.PartDone:
		o.partDone(a)
	case *dispatcher.PartRefused:
		o.finish(a.Part(), &NotRun{reason: a.Reason(), retryAfter: a.RetryAfter()})
	case *dispatcher.PartUnknown:
		o.finish(a.Part(), &Unknown{reason: a.Reason()})
	}
}

// call hands a leaf call to a worker of its server. The dispatcher keeps to
// the server's slots, so that the ring has room.
func (o *Owner) call(a *dispatcher.Call) {
	p := o.parts[a.Part()]
	l := o.lanes[a.Server()]
	left := a.Deadline() - o.clock.Now()
	ctx, cancel := context.WithTimeout(o.ctx, left.Duration())
	c := &call{
		attempt:  a.Attempt(),
		id:       o.attempt(),
		part:     a.Part(),
		set:      o.set.Name(),
		shard:    a.Shard(),
		server:   a.Server(),
		snapshot: a.Snapshot(),
		ctx:      ctx,
		cancel:   cancel,
	}
	if p != nil {
		c.term, c.booking = p.term, p.booking
	}
	o.calls[c.attempt] = c
	if p != nil {
		p.calls = append(p.calls, c.attempt)
	}
	if p == nil || l == nil || l.ending || !l.ring.TryPush(c) {
		cancel()
		o.deferred = append(o.deferred, &repliedMessage{attempt: c.attempt, result: dispatcher.NewReplyNotRun(dispatcher.NotRunShed)})
		return
	}
	c.lane = l
	l.open++
}

// partDone puts the winning replies of a part together.
func (o *Owner) partDone(a *dispatcher.PartDone) {
	p, ok := o.parts[a.Part()]
	if !ok {
		return
	}
	d := &Done{calls: a.Calls(), extraCalls: a.ExtraCalls()}
	for _, w := range a.Winners() {
		c := o.calls[w.Attempt()]
		d.receipt = c.receipt
		d.results = append(d.results, merger.NewShardResult(w.Shard(), c.records))
	}
	missed := map[string]bool{}
	for _, m := range a.Misses() {
		missed[m.Shard()] = true
		d.results = append(d.results, merger.NewMissingShard(m.Shard(), m.Reason()))
	}
	d.held = o.heldOf(missed)
	o.finish(p.number, d)
}

// finish ends a part and forgets the calls that are over.
func (o *Owner) finish(number uint64, e PartResult) {
	p, ok := o.parts[number]
	if !ok {
		return
	}
	delete(o.parts, number)
	delete(o.byEnd, p.end)
	p.end <- e
	for _, n := range p.calls {
		if c, ok := o.calls[n]; ok && c.over {
			delete(o.calls, n)
		}
	}
}
