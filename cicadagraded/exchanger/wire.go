package exchanger

import (
	"cicadagrade.example/tier"
	"cicadagrade.example/tier/gossiper"

	peerv1 "cicadagrade.example/api/peer/v1"
)

func encodeRequest(m *gossiper.Message) *peerv1.ExchangeRequest {
	return &peerv1.ExchangeRequest{
		Sender:      m.Sender(),
		Incarnation: uint64(m.Incarnation()),
		Digests:     encodeDigests(m.Digests()),
		Entries:     encodeEntries(m.Entries()),
	}
}

func encodeReply(m *gossiper.Message) *peerv1.ExchangeReply {
	return &peerv1.ExchangeReply{
		Sender:      m.Sender(),
		Incarnation: uint64(m.Incarnation()),
		Digests:     encodeDigests(m.Digests()),
		Entries:     encodeEntries(m.Entries()),
	}
}

func encodeDigests(list []gossiper.Digest) []*peerv1.Digest {
	out := make([]*peerv1.Digest, len(list))
	for i, d := range list {
		out[i] = &peerv1.Digest{Origin: d.Origin(), Incarnation: uint64(d.Incarnation()), Version: d.Version()}
	}
	return out
}

func encodeEntries(list []gossiper.Entry) []*peerv1.Entry {
	out := make([]*peerv1.Entry, len(list))
	for i, e := range list {
		out[i] = &peerv1.Entry{
			Origin:      e.Origin(),
			Incarnation: uint64(e.Incarnation()),
			Version:     e.Version(),
			Key:         e.Key(),
			Value:       e.Value(),
		}
	}
	return out
}

func decodeMessage(sender string, incarnation uint64, digests []*peerv1.Digest, entries []*peerv1.Entry) *gossiper.Message {
	d := make([]gossiper.Digest, len(digests))
	for i, p := range digests {
		d[i] = gossiper.NewDigest(p.GetOrigin(), tier.Incarnation(p.GetIncarnation()), p.GetVersion())
	}
	e := make([]gossiper.Entry, len(entries))
	for i, p := range entries {
		e[i] = gossiper.NewEntry(p.GetOrigin(), tier.Incarnation(p.GetIncarnation()), p.GetVersion(), p.GetKey(), p.GetValue())
	}
	return gossiper.NewMessage(sender, tier.Incarnation(incarnation), d, e)
}
