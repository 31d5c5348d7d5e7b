package messenger

import (
	peerv1 "cicadagrade.example/api/peer/v1"
	"cicadagrade.example/cicadagraded/owner"
	"cicadagrade.example/tier"
	"cicadagrade.example/tier/admitter"
	"cicadagrade.example/tier/merger"
)

func toPeerSnapshot(s tier.Snapshot) *peerv1.Snapshot {
	return &peerv1.Snapshot{Epoch: uint64(s.Epoch()), Version: uint64(s.Version())}
}

func fromPeerSnapshot(s *peerv1.Snapshot) tier.Snapshot {
	return tier.NewSnapshot(tier.Epoch(s.GetEpoch()), tier.Version(s.GetVersion()))
}

func toTerms(p *tier.Profile) *peerv1.Terms {
	return &peerv1.Terms{
		Profile:       p.Name(),
		Rank:          uint32(p.Rank()),
		ImposedWaitMs: int64(p.ImposedWait()),
		QueueLimit:    uint32(p.QueueLimit()),
		Hedge:         p.Hedge(),
	}
}

// fromTerms returns the part of a profile that an owner needs.
func fromTerms(t *peerv1.Terms) (*tier.Profile, error) {
	return tier.NewProfile(t.GetProfile(),
		tier.WithRank(tier.Rank(t.GetRank())),
		tier.WithImposedWait(tier.Millis(t.GetImposedWaitMs())),
		tier.WithQueueLimit(int(t.GetQueueLimit())),
		tier.WithHedge(t.GetHedge()))
}

func toPeerRecords(records []tier.Record) []*peerv1.Record {
	out := make([]*peerv1.Record, 0, len(records))
	for _, r := range records {
		out = append(out, &peerv1.Record{Key: r.Key(), Value: r.Value()})
	}
	return out
}

func fromPeerRecords(l []*peerv1.Record) []tier.Record {
	records := make([]tier.Record, 0, len(l))
	for _, r := range l {
		records = append(records, tier.NewRecord(r.GetKey(), r.GetValue()))
	}
	return records
}

func toAskReply(part uint64, s tier.Snapshot, e owner.PartResult) *peerv1.AskReply {
	w := &peerv1.AskReply{Part: part, Snapshot: toPeerSnapshot(s)}
	switch e := e.(type) {
	case *owner.Done:
		w.LeafCalls = uint32(e.LeafCalls())
		w.ExtraLeafCalls = uint32(e.ExtraCalls())
		for _, r := range e.Results() {
			w.Results = append(w.Results, toShardResult(r))
		}
		for _, h := range e.Holdings() {
			w.Held = append(w.Held, toHeld(h))
		}
	case *owner.NotRun:
		w.Refusal = &peerv1.Refusal{Reason: string(e.Reason()), RetryAfterMs: int64(e.RetryAfter())}
	}
	return w
}

// toAdmission leaves out a threshold that lets everything in.
func toAdmission(t admitter.Threshold) *peerv1.Admission {
	if t.AdmitsAll() {
		return nil
	}
	w := &peerv1.Admission{}
	for _, r := range tier.Ranks {
		w.Fractions = append(w.Fractions, t.Fraction(r))
		w.AfterMs = append(w.AfterMs, int64(t.RetryAfter(r)))
	}
	return w
}

func fromAdmission(w *peerv1.Admission) admitter.Threshold {
	if len(w.GetFractions()) != len(tier.Ranks) || len(w.GetAfterMs()) != len(tier.Ranks) {
		return admitter.AdmitAll()
	}
	var after [len(tier.Ranks)]tier.Millis
	for i, m := range w.GetAfterMs() {
		after[i] = tier.Millis(m)
	}
	return admitter.NewThreshold([len(tier.Ranks)]float64(w.GetFractions()), after)
}

func toShardResult(r merger.ShardResult) *peerv1.ShardResult {
	return &peerv1.ShardResult{
		Shard:   r.Shard(),
		Miss:    string(r.Miss()),
		Records: toPeerRecords(r.Records()),
		Count:   uint32(r.Count()),
		Digest:  r.Digest(),
	}
}

func toHeld(h owner.HeldVersions) *peerv1.Held {
	w := &peerv1.Held{Shard: h.Shard(), Epoch: uint64(h.Epoch())}
	for _, v := range h.Versions() {
		w.Versions = append(w.Versions, uint64(v))
	}
	return w
}

func fromAskReply(w *peerv1.AskReply) owner.PartResult {
	if r := w.GetRefusal(); r != nil {
		return owner.NewNotRun(tier.RefuseReason(r.GetReason()), tier.Millis(r.GetRetryAfterMs()))
	}
	results := make([]merger.ShardResult, 0, len(w.GetResults()))
	for _, r := range w.GetResults() {
		results = append(results, fromShardResult(r))
	}
	held := make([]owner.HeldVersions, 0, len(w.GetHeld()))
	for _, h := range w.GetHeld() {
		versions := make([]tier.Version, 0, len(h.GetVersions()))
		for _, v := range h.GetVersions() {
			versions = append(versions, tier.Version(v))
		}
		held = append(held, owner.NewHeldVersions(h.GetShard(), tier.Epoch(h.GetEpoch()), versions))
	}
	return owner.NewDone(results, held, int(w.GetLeafCalls()), int(w.GetExtraLeafCalls()))
}

func fromShardResult(r *peerv1.ShardResult) merger.ShardResult {
	if r.GetMiss() != "" {
		return merger.NewMissingShard(r.GetShard(), tier.MissReason(r.GetMiss()))
	}
	return merger.NewReceivedResult(r.GetShard(), fromPeerRecords(r.GetRecords()), int(r.GetCount()), r.GetDigest())
}

func toBookReply(o tier.Outcome) *peerv1.BookReply {
	w := &peerv1.BookReply{}
	switch o := o.(type) {
	case *tier.Booked:
		w.Receipt = o.Receipt()
		w.Repeated = o.Repeated()
	case *tier.Refused:
		w.Refusal = toRefusal(o)
	case *tier.Unknown:
		w.Unknown = string(o.Reason())
		if refusal, ok := o.Refusal(); ok {
			w.Earlier = true
			w.Refusal = toRefusal(refusal)
		}
	}
	return w
}

func toRefusal(r *tier.Refused) *peerv1.Refusal {
	return &peerv1.Refusal{Reason: string(r.Reason()), RetryAfterMs: int64(r.RetryAfter())}
}

func fromBookReply(w *peerv1.BookReply) tier.Outcome {
	refused := tier.NewRefused(tier.RefuseReason(w.GetRefusal().GetReason()), tier.Millis(w.GetRefusal().GetRetryAfterMs()))
	switch {
	case w.GetEarlier():
		return tier.NewUnknownEarlier(refused)
	case w.GetRefusal() != nil:
		return refused
	case w.GetReceipt() != "":
		return tier.NewBooked(w.GetReceipt(), w.GetRepeated())
	default:
		return tier.NewUnknown(tier.UnknownReason(w.GetUnknown()))
	}
}
