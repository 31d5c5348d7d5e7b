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

// idleWait is the longest time that the event loop sleeps.
const idleWait = 1 * tier.Second

// Run runs the owner until ctx ends.
func (o *Owner) Run(ctx context.Context) error {
	o.group, o.ctx = errgroup.WithContext(ctx)
	o.syncPools()
	o.group.Go(o.loop)
	return errors.Wrap(o.group.Wait(), "Owner.Run")
}

// loop is the event loop: it handles messages and does what is due.
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
		timer.Reset(o.untilNextDue().Duration())
	}
}

// handleDeferred handles the messages that the event loop queued for itself.
func (o *Owner) handleDeferred() {
	for len(o.deferred) > 0 {
		m := o.deferred[0]
		o.deferred = o.deferred[1:]
		o.handle(m)
	}
}

// untilNextDue is the time until the next action that is due, at most idleWait.
func (o *Owner) untilNextDue() tier.Millis {
	now := o.clock.Now()
	due := min(now+idleWait, o.reportAt)
	if next, ok := o.dispatcher.NextTick(); ok {
		due = min(due, next)
	}
	if next, ok := o.nextProbe(); ok {
		due = min(due, next)
	}
	if len(o.waitingParts) > 0 {
		due = min(due, o.firstProbeDeadline)
	}
	if len(o.pendingCancels) > 0 {
		due = min(due, o.pendingCancels[0].at)
	}
	return max(due-now, 0)
}

// tick does everything that is due now.
func (o *Owner) tick() {
	now := o.clock.Now()
	if next, ok := o.dispatcher.NextTick(); ok && next <= now {
		o.stepDispatcher(&dispatcher.Tick{})
	}
	o.tickProbers(now)
	if now >= o.firstProbeDeadline {
		o.submitWaiting()
	}
	o.cancelDueCalls(now)
	if now >= o.reportAt {
		o.publishReport(now)
	}
}

func (o *Owner) handle(m message) {
	switch m := m.(type) {
	case *submitMessage:
		o.submit(m)
	case *cancelMessage:
		o.cancelPart(m.result)
	case *callEndedMessage:
		o.callEnded(m)
	case *probeEndedMessage:
		o.probeEnded(m)
	case *setMessage:
		o.setChanged(m.set)
	case *slotShareMessage:
		o.setOwnerIndex(m.index)
		o.stepDispatcher(dispatcher.NewShareChanged(m.owners, m.index))
	case *standbyMessage:
		o.setOwnerIndex(-1)
		o.stepDispatcher(&dispatcher.Standby{})
	case *statusMessage:
		m.reply <- o.status()
	}
}

// setOwnerIndex sets the owner's index among the VMs that share the slots, and makes the
// owner publish its report again.
func (o *Owner) setOwnerIndex(index int) {
	o.ownerIndex = index
	o.lastReport = Report{}
	o.reportAt = 0
}

// submit passes a part to the dispatcher. The first parts of a new owner wait until each
// backend server has been probed, so that the owner knows what they hold.
func (o *Owner) submit(m *submitMessage) {
	if len(o.unprobed) > 0 && o.clock.Now() < o.firstProbeDeadline {
		if len(o.waitingParts) == inboxSize {
			m.result <- &NotRun{reason: tier.RefuseOverload, retryAfter: firstProbeWait}
			return
		}
		o.waitingParts = append(o.waitingParts, m)
		return
	}
	o.submitNow(m)
}

// markProbed records that a probe of a backend server has ended, and submits the waiting
// parts after the first probe of the last server.
func (o *Owner) markProbed(server string) {
	delete(o.unprobed, server)
	if len(o.unprobed) == 0 {
		o.submitWaiting()
	}
}

func (o *Owner) submitWaiting() {
	waiting := o.waitingParts
	o.waitingParts = nil
	for _, m := range waiting {
		o.submitNow(m)
	}
}

func (o *Owner) submitNow(m *submitMessage) {
	o.lastPart++
	p := &part{number: o.lastPart, result: m.result}
	o.parts[p.number] = p
	o.partByResult[p.result] = p.number
	if b := m.booking; b != nil {
		p.booking = b
		o.stepDispatcher(dispatcher.NewSubmit(p.number, b.profile, b.deadline, []string{b.shard}, dispatcher.NonIdempotent()))
		return
	}
	s := m.search
	p.snapshot = s.snapshot
	p.term = s.term
	o.stepDispatcher(dispatcher.NewSubmit(p.number, s.profile, s.deadline, s.shards, dispatcher.WithSnapshot(s.snapshot)))
}

func (o *Owner) cancelPart(end chan PartResult) {
	if n, ok := o.partByResult[end]; ok {
		o.stepDispatcher(dispatcher.NewCancelled(n))
		return
	}
	for i, m := range o.waitingParts {
		if m.result == end {
			o.waitingParts = slices.Delete(o.waitingParts, i, i+1)
			end <- &NotRun{reason: tier.RefuseCallerGone}
			return
		}
	}
}

// callEnded passes the result of a leaf call to the dispatcher and the prober.
func (o *Owner) callEnded(m *callEndedMessage) {
	c, ok := o.calls[m.attempt]
	if !ok {
		return
	}
	c.records = m.records
	c.receipt = m.receipt
	c.ended = true
	if c.pool != nil {
		c.pool.callEnded()
	}
	if m.rejected {
		o.rejectedReplies++
	}
	o.stepProberOnReply(c.server, m)
	if m.heldVersions != nil {
		o.updateHolding(c.server, *m.heldVersions)
	}
	if _, running := o.parts[c.part]; !running {
		delete(o.calls, m.attempt)
	}
	o.stepDispatcher(dispatcher.NewCallEnded(m.attempt, m.result))
}

// updateHolding tells the dispatcher which versions a backend server holds, if they have
// changed.
func (o *Owner) updateHolding(server string, h HeldVersions) {
	k := holdingKey{server: server, shard: h.shard, epoch: h.epoch}
	if slices.Equal(o.holdings[k], h.versions) {
		return
	}
	o.holdings[k] = h.versions
	o.stepDispatcher(dispatcher.NewHoldingChanged(server, h.shard, h.epoch, h.versions))
}

// stepDispatcher passes an event to the dispatcher and performs the resulting actions.
func (o *Owner) stepDispatcher(e dispatcher.Event) {
	for _, a := range o.dispatcher.Step(o.clock.Now(), e) {
		o.perform(a)
	}
}

// perform performs one action of the dispatcher.
func (o *Owner) perform(a dispatcher.Action) {
	switch a := a.(type) {
	case *dispatcher.Call:
		o.startCall(a)
	case *dispatcher.CancelCall:
		o.cancelCall(a.Attempt())
	case *dispatcher.PartDone:
		o.partDone(a)
	case *dispatcher.PartRefused:
		o.finishPart(a.Part(), &NotRun{reason: a.Reason(), retryAfter: a.RetryAfter()})
	case *dispatcher.PartUnknown:
		o.finishPart(a.Part(), &Unknown{reason: a.Reason()})
	}
}

// startCall queues a leaf call for the worker pool of its backend server. The dispatcher
// makes no more calls at once than the server has slots, so the queue has room.
func (o *Owner) startCall(a *dispatcher.Call) {
	p := o.parts[a.Part()]
	w := o.pools[a.Server()]
	remaining := a.Deadline() - o.clock.Now()
	ctx, cancel := context.WithTimeout(o.ctx, remaining.Duration())
	c := &call{
		attempt:   a.Attempt(),
		attemptID: o.newAttemptID(),
		part:      a.Part(),
		set:       o.set.Name(),
		shard:     a.Shard(),
		server:    a.Server(),
		snapshot:  a.Snapshot(),
		ctx:       ctx,
		cancel:    cancel,
	}
	if p != nil {
		c.term, c.booking = p.term, p.booking
	}
	o.calls[c.attempt] = c
	if p != nil {
		p.calls = append(p.calls, c.attempt)
	}
	if p == nil || w == nil || w.closing || !w.calls.TryPush(c) {
		cancel()
		o.deferred = append(o.deferred, &callEndedMessage{attempt: c.attempt, result: dispatcher.NewReplyNotRun(dispatcher.NotRunShed)})
		return
	}
	c.pool = w
	w.openCalls++
}

// partDone builds the result of a part from the replies that the dispatcher accepted.
func (o *Owner) partDone(a *dispatcher.PartDone) {
	p, ok := o.parts[a.Part()]
	if !ok {
		return
	}
	d := &Done{leafCalls: a.Calls(), extraCalls: a.ExtraCalls()}
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
	d.holdings = o.heldVersionsOf(missed)
	o.finishPart(p.number, d)
}

// finishPart returns the result of a part and forgets its ended calls. Calls that still
// run are forgotten when they end.
func (o *Owner) finishPart(number uint64, e PartResult) {
	p, ok := o.parts[number]
	if !ok {
		return
	}
	delete(o.parts, number)
	delete(o.partByResult, p.result)
	p.result <- e
	for _, n := range p.calls {
		if c, ok := o.calls[n]; ok && c.ended {
			delete(o.calls, n)
		}
	}
}
