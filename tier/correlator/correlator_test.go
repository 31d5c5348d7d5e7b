package correlator_test

import (
	"testing"

	"github.com/pkg/errors"

	"cicadagrade.example/tier"
	"cicadagrade.example/tier/correlator"
)

func TestTableRejects(t *testing.T) {
	records := []tier.Record{tier.NewRecord("k", "v")}
	digest := tier.Digest(records)
	at := tier.NewSnapshot(1, 7)
	id := tier.NewAttemptID("caxias-1", 5, 42)
	for _, c := range []struct {
		field correlator.Field
		reply correlator.SearchReply
	}{
		{"", correlator.NewSearchReply("caxias-1/5/42", "portao", "p-01", at, records, 1, digest)},
		{correlator.FieldAttempt, correlator.NewSearchReply("caxias-1/5/41", "portao", "p-01", at, records, 1, digest)},
		{correlator.FieldSet, correlator.NewSearchReply("caxias-1/5/42", "agenda", "p-01", at, records, 1, digest)},
		{correlator.FieldShard, correlator.NewSearchReply("caxias-1/5/42", "portao", "p-02", at, records, 1, digest)},
		{correlator.FieldSnapshot, correlator.NewSearchReply("caxias-1/5/42", "portao", "p-01", tier.NewSnapshot(1, 8), records, 1, digest)},
		{correlator.FieldCount, correlator.NewSearchReply("caxias-1/5/42", "portao", "p-01", at, nil, 1, digest)},
		{correlator.FieldDigest, correlator.NewSearchReply("caxias-1/5/42", "portao", "p-01", at, []tier.Record{tier.NewRecord("k", "w")}, 1, digest)},
	} {
		table := correlator.NewPendingCalls()
		table.Add(correlator.NewExpectation(id, "portao", "p-01", at))
		err := table.AcceptSearch(id, c.reply)
		var m *correlator.MismatchError
		if c.field == "" && err != nil {
			t.Errorf("a good reply: %v", err)
		}
		if c.field != "" && (!errors.As(err, &m) || m.Field() != c.field || table.Rejected(c.field) != 1) {
			t.Errorf("%s: %v, counted %d", c.field, err, table.Rejected(c.field))
		}
		var late *correlator.NotPendingError
		if err := table.AcceptSearch(id, c.reply); !errors.As(err, &late) || table.NotPending() != 1 {
			t.Errorf("a repeated reply: %v", err)
		}
	}
}

func TestTableRejectsReceipts(t *testing.T) {
	id := tier.NewAttemptID("caxias-1", 5, 42)
	table := correlator.NewPendingCalls()
	table.Add(correlator.NewExpectation(id, "portao", "p-01", tier.Snapshot{}))
	err := table.AcceptBooking(id, correlator.NewBookingReply("caxias-1/5/42", "portao", "p-01", ""))
	var m *correlator.MismatchError
	if !errors.As(err, &m) || m.Field() != correlator.FieldReceipt {
		t.Errorf("an empty receipt: %v", err)
	}
}
