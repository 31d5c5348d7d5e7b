package watcher

import (
	"strings"

	"google.golang.org/protobuf/proto"

	"cicadagrade.example/tier/replicator"

	peerv1 "cicadagrade.example/api/peer/v1"
)

// encodeRefs encodes references. Keys are written without their common prefix.
func encodeRefs(refs []replicator.Ref) []*peerv1.DocumentRef {
	out := make([]*peerv1.DocumentRef, 0, len(refs))
	for _, r := range refs {
		out = append(out, encodeRef(r))
	}
	return out
}

func encodeRef(r replicator.Ref) *peerv1.DocumentRef {
	return &peerv1.DocumentRef{
		Key:      strings.TrimPrefix(r.Key(), replicator.KeyPrefix),
		Epoch:    r.Epoch(),
		Revision: r.Revision(),
		Digest:   r.Digest(),
	}
}

func decodeRefs(refs []*peerv1.DocumentRef) []replicator.Ref {
	out := make([]replicator.Ref, 0, len(refs))
	for _, r := range refs {
		out = append(out, decodeRef(r))
	}
	return out
}

func decodeRef(r *peerv1.DocumentRef) replicator.Ref {
	return replicator.NewRef(replicator.KeyPrefix+r.GetKey(), r.GetEpoch(), r.GetRevision(), r.GetDigest())
}

func encodeUpdates(updates []replicator.Update) []*peerv1.DocumentUpdate {
	out := make([]*peerv1.DocumentUpdate, 0, len(updates))
	for _, u := range updates {
		out = append(out, &peerv1.DocumentUpdate{
			Ref:          encodeRef(u.Ref()),
			Whole:        u.Whole(),
			Delta:        u.Delta(),
			BaseRevision: u.Base(),
		})
	}
	return out
}

func decodeUpdates(updates []*peerv1.DocumentUpdate) []replicator.Update {
	out := make([]replicator.Update, 0, len(updates))
	for _, u := range updates {
		var delta []byte
		if len(u.GetDelta()) > 0 {
			delta = u.GetDelta()
		}
		out = append(out, replicator.NewUpdate(decodeRef(u.GetRef()), u.GetWhole(), delta, u.GetBaseRevision()))
	}
	return out
}

// encodeIndex encodes references as the value of one gossip entry.
func encodeIndex(refs []replicator.Ref) ([]byte, error) {
	return proto.MarshalOptions{Deterministic: true}.Marshal(&peerv1.FetchRequest{Have: encodeRefs(refs)})
}

func decodeIndex(value []byte) ([]replicator.Ref, error) {
	var m peerv1.FetchRequest
	if err := proto.Unmarshal(value, &m); err != nil {
		return nil, err
	}
	return decodeRefs(m.GetHave()), nil
}
