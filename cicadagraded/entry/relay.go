package entry

import (
	"net/http"

	gatherv1 "cicadagrade.example/api/gather/v1"
	"cicadagrade.example/cicadagraded/leafclient"
	"cicadagrade.example/tier/searcher"
)

// wholeReply hands on the leaf's reply to a request of one service, if it has arrived.
func wholeReply(f searcher.Flush) *gatherv1.GatherReply {
	if len(f.Parts) == 0 {
		return &gatherv1.GatherReply{}
	}
	return &gatherv1.GatherReply{Parts: []uint32{0}, MayHaveRun: true, Whole: encodeReply(f.Parts[0].Reply().(*leafclient.Reply))}
}

// encodeReply encodes a leaf's reply for another VM.
func encodeReply(r *leafclient.Reply) *gatherv1.LeafReply {
	encoded := &gatherv1.LeafReply{Status: uint32(r.Status()), Body: r.Body()}
	for name, values := range r.Header() {
		encoded.Headers = append(encoded.Headers, &gatherv1.Header{Name: name, Values: values})
	}
	return encoded
}

// restoreReply returns the leaf's reply that another VM has received.
func restoreReply(encoded *gatherv1.LeafReply) *leafclient.Reply {
	header := http.Header{}
	for _, h := range encoded.GetHeaders() {
		header[http.CanonicalHeaderKey(h.GetName())] = h.GetValues()
	}
	return leafclient.NewReply(int(encoded.GetStatus()), header, encoded.GetBody())
}
