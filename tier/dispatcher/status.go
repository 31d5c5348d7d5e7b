package dispatcher

import (
	"cicadagrade.example/tier"
	"cicadagrade.example/tier/admitter"
)

// Counters count since the dispatcher was made.
type Counters struct {
	accepted  int
	done      int
	unknown   int
	late      int
	cancelled int
	calls     int
	extra     int
	failed    int
	bad       int
	notRun    int
	refused   [len(tier.Ranks)]int
}

// Accepted is how many parts were queued.
func (c Counters) Accepted() int { return c.accepted }

// Done is how many parts ended with a *PartDone.
func (c Counters) Done() int { return c.done }

// Unknown is how many parts ended with a *PartUnknown.
func (c Counters) Unknown() int { return c.unknown }

// Expired is how many parts reached their deadline.
func (c Counters) Expired() int { return c.late }

// Cancelled is how many parts lost their caller.
func (c Counters) Cancelled() int { return c.cancelled }

// Calls is how many leaf calls were made.
func (c Counters) Calls() int { return c.calls }

// ExtraCalls is how many leaf calls were hedges or retries.
func (c Counters) ExtraCalls() int { return c.extra }

// FailedCalls is how many leaf calls ended without a usable reply.
func (c Counters) FailedCalls() int { return c.failed }

// RejectedReplies is how many replies correlation rejected.
func (c Counters) RejectedReplies() int { return c.bad }

// NotRunCalls is how many leaf calls a server did not run.
func (c Counters) NotRunCalls() int { return c.notRun }

// Refused is how many parts of a rank were refused.
func (c Counters) Refused(r tier.Rank) int { return c.refused[r] }

// ServerStatus is what the dispatcher knows of one backend server.
type ServerStatus struct {
	name    string
	state   tier.BackendState
	used    int
	limit   int
	latency tier.Millis
}

// Name is the server's name.
func (s ServerStatus) Name() string { return s.name }

// State is the server's state.
func (s ServerStatus) State() tier.BackendState { return s.state }

// UsedSlots is how many slots this owner's calls hold.
func (s ServerStatus) UsedSlots() int { return s.used }

// SlotLimit is how many slots this owner's calls may hold now.
func (s ServerStatus) SlotLimit() int { return s.limit }

// Latency is the average latency of its calls.
func (s ServerStatus) Latency() tier.Millis { return s.latency }

// Status is a dispatcher's state as of its last Step.
type Status struct {
	queued    [len(tier.Ranks)]int
	wait      [len(tier.Ranks)]tier.Millis
	servers   []ServerStatus
	threshold admitter.Threshold
	tokens    float64
	counters  Counters
}

// Queued is how many parts of a rank wait, whole or in part.
func (s Status) Queued(r tier.Rank) int { return s.queued[r] }

// DrainTime is how long the queue of a rank takes to drain at the measured rate.
func (s Status) DrainTime(r tier.Rank) tier.Millis { return s.wait[r] }

// Servers lists the backend servers in the set's order.
func (s Status) Servers() []ServerStatus { return s.servers }

// Threshold is the admission threshold to publish.
func (s Status) Threshold() admitter.Threshold { return s.threshold }

// HedgeTokens is the budget left for extra calls.
func (s Status) HedgeTokens() float64 { return s.tokens }

// Counters are the counts since the dispatcher was made.
func (s Status) Counters() Counters { return s.counters }

// Threshold is the admission threshold to publish, as of the last Step.
func (d *Dispatcher) Threshold() admitter.Threshold { return d.pressure.threshold(d.now) }

// Idle reports whether nothing is queued or runs; a leaving owner may stop.
func (d *Dispatcher) Idle() bool { return len(d.parts) == 0 && len(d.calls) == 0 }

// Status returns the state as of the last Step.
func (d *Dispatcher) Status() Status {
	s := Status{
		queued: d.queued.byRank, threshold: d.pressure.threshold(d.now),
		tokens: d.hedger.Tokens(), counters: d.counters,
	}
	for _, r := range tier.Ranks {
		s.wait[r] = d.drainTime(r)
	}
	for _, b := range d.set.Servers() {
		if v := d.servers[b.Name()]; v != nil {
			s.servers = append(s.servers, ServerStatus{
				name: b.Name(), state: v.state, used: len(v.running),
				limit: d.limit(v), latency: tier.Millis(v.latency),
			})
		}
	}
	return s
}
