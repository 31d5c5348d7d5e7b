package entry

import (
	"cicadagrade.example/cicadagraded/leafclient"
	"cicadagrade.example/platform"
	"cicadagrade.example/tier/balancer"
	"cicadagrade.example/tier/lister"
)

// replyLoad returns the load that a leaf's reply tells, if there is a reply of that leaf.
func (e *Entry) replyLoad(leaf lister.Leaf, reply *leafclient.Reply, err error) (balancer.Load, bool) {
	if err != nil || platform.ParseLeafReply(reply.Status(), reply.Header()).WrongServer() {
		return balancer.Load{}, false
	}
	load, told, err := platform.ParseLoad(reply.Header())
	if err != nil {
		e.log.RateLimitedInfo("leaf-load-unreadable", "leaf", leaf.ID(), "error", err)
	}
	return load, told
}
