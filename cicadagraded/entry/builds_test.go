package entry

import (
	"encoding/hex"
	"testing"

	"google.golang.org/protobuf/proto"

	gatherv1 "cicadagrade.example/api/gather/v1"
)

// TestFirstRepliesOfOtherBuilds guards against VMs of two builds, side by side during an upgrade, that
// take a refusal for an acceptance or the reverse. The bytes are those of the first reply to a share.
func TestFirstRepliesOfOtherBuilds(t *testing.T) {
	for name, c := range map[string]struct {
		bytes                string
		declined, overloaded bool
		reply                *gatherv1.GatherReply // that this build sends, or nil
	}{
		"43c6ed4, accepted":              {bytes: ""},
		"43c6ed4, takes no shares":       {bytes: "4001", declined: true, reply: &gatherv1.GatherReply{Declined: true}},
		"accepted by an overloaded VM":   {bytes: "70fa01", reply: &gatherv1.GatherReply{RefusedPermille: 250}},
		"refused by an overloaded VM":    {bytes: "400170fa01", declined: true, overloaded: true, reply: &gatherv1.GatherReply{Declined: true, RefusedPermille: 250}},
		"a later build, with new fields": {bytes: "400170fa01da0f03616263", declined: true, overloaded: true},
	} {
		raw, err := hex.DecodeString(c.bytes)
		if err != nil {
			t.Fatal(err)
		}
		var reply gatherv1.GatherReply
		if err := proto.Unmarshal(raw, &reply); err != nil {
			t.Errorf("%s: %v", name, err)
		}
		overloaded := reply.GetDeclined() && reply.GetRefusedPermille() > 0
		if reply.GetDeclined() != c.declined || overloaded != c.overloaded {
			t.Errorf("%s: declined %v, refused permille %d", name, reply.GetDeclined(), reply.GetRefusedPermille())
		}
		if c.reply == nil {
			continue
		}
		if sent, err := (proto.MarshalOptions{Deterministic: true}).Marshal(c.reply); err != nil || hex.EncodeToString(sent) != c.bytes {
			t.Errorf("%s: sent as %x (error %v), expected %s", name, sent, err, c.bytes)
		}
	}
}
