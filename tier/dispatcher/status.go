package dispatcher

import (
	"cicadagrade.example/tier"
	"cicadagrade.example/tier/admitter"
)

// Counters counts the parts, leaf calls and replies of a Dispatcher since its creation.
type Counters struct {
	accepted        int
	done            int
	unknown         int
	expired         int
	cancelled       int
	calls           int
	extraCalls      int
	failedCalls     int
	rejectedReplies int
	notRunCalls     int
	refused         [len(tier.Ranks)]int
}

// Accepted is how many parts passed admission.
func (c Counters) Accepted() int { return c.accepted }

// Done is how many parts ended with a *PartDone.
func (c Counters) Done() int { return c.done }

// Unknown is how many parts ended with a *PartUnknown.
func (c Counters) Unknown() int { return c.unknown }

// Expired is how many parts reached their deadline before they ended.
func (c Counters) Expired() int { return c.expired }

// Cancelled is how many parts were cancelled because their client disconnected.
func (c Counters) Cancelled() int { return c.cancelled }

// Calls is how many leaf calls were made.
func (c Counters) Calls() int { return c.calls }

// ExtraCalls is how many leaf calls were hedges or retries.
func (c Counters) ExtraCalls() int { return c.extraCalls }

// FailedCalls is how many leaf calls failed without a usable reply, cancelled ones aside.
func (c Counters) FailedCalls() int { return c.failedCalls }

// RejectedReplies is how many replies package correlator rejected.
func (c Counters) RejectedReplies() int { return c.rejectedReplies }

// NotRunCalls is how many leaf calls a server did not execute.
func (c Counters) NotRunCalls() int { return c.notRunCalls }

// Refused is how many parts of a rank were refused.
func (c Counters) Refused(r tier.Rank) int { return c.refused[r] }

// ServerStatus is the state of one backend server as the Dispatcher knows it.
type ServerStatus struct {
	name      string
	state     tier.BackendState
	usedSlots int
	slotLimit int
	latency   tier.Millis
}

// Name is the server's name.
func (s ServerStatus) Name() string { return s.name }

// State is the server's state.
func (s ServerStatus) State() tier.BackendState { return s.state }

// UsedSlots is how many slots this owner's calls occupy.
func (s ServerStatus) UsedSlots() int { return s.usedSlots }

// SlotLimit is how many slots this owner's calls may occupy now.
func (s ServerStatus) SlotLimit() int { return s.slotLimit }

// Latency is the average latency of this owner's calls to the server.
func (s ServerStatus) Latency() tier.Millis { return s.latency }

// Status is the state of a Dispatcher after its last Step.
type Status struct {
	queued      [len(tier.Ranks)]int
	drainTimes  [len(tier.Ranks)]tier.Millis
	servers     []ServerStatus
	threshold   admitter.Threshold
	hedgeTokens float64
	counters    Counters
}

// Queued is how many parts of a rank have a task that waits for its first call.
func (s Status) Queued(r tier.Rank) int { return s.queued[r] }

// DrainTime estimates how long the queue of a rank takes to drain at the measured rate.
func (s Status) DrainTime(r tier.Rank) tier.Millis { return s.drainTimes[r] }

// Servers lists the backend servers in the set's order.
func (s Status) Servers() []ServerStatus { return s.servers }

// Threshold is the admission threshold to publish.
func (s Status) Threshold() admitter.Threshold { return s.threshold }

// HedgeTokens is how many tokens the budget for hedges and retries holds.
func (s Status) HedgeTokens() float64 { return s.hedgeTokens }

// Counters returns the counts since the Dispatcher was created.
func (s Status) Counters() Counters { return s.counters }

// Threshold is the admission threshold to publish, as of the last Step.
func (d *Dispatcher) Threshold() admitter.Threshold { return d.overload.threshold(d.now) }

// Idle reports whether nothing is queued or running. An owner that is leaving may stop
// when it is idle.
func (d *Dispatcher) Idle() bool { return len(d.parts) == 0 && len(d.calls) == 0 }

// Status returns the state after the last Step.
func (d *Dispatcher) Status() Status {
	s := Status{
		queued: d.queued.byRank, threshold: d.overload.threshold(d.now),
		hedgeTokens: d.hedger.Tokens(), counters: d.counters,
	}
	for _, r := range tier.Ranks {
		s.drainTimes[r] = d.drainTime(r)
	}
	for _, b := range d.set.Servers() {
		if v := d.servers[b.Name()]; v != nil {
			s.servers = append(s.servers, ServerStatus{
				name: b.Name(), state: v.state, usedSlots: len(v.running),
				slotLimit: d.callLimit(v), latency: tier.Millis(v.averageLatency),
			})
		}
	}
	return s
}
