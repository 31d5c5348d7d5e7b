package entry

import (
	"slices"

	gatherv1 "cicadagrade.example/api/gather/v1"
	"cicadagrade.example/platform"
	"cicadagrade.example/tier"
	"cicadagrade.example/tier/storer"
)

// newerVersionTTL is how long a newer version of the configuration is expected after a VM has told of it.
// Without a limit, one that was lost with all VMs that had it would be expected forever.
const newerVersionTTL = 10 * tier.Second

// newerVersion is a version of the configuration that is newer than the one in force here.
type newerVersion struct {
	version int64
	vm      string      // that has told of it last
	firstAt tier.Millis // when a newer version was first heard of
	lastAt  tier.Millis
}

// versionInForce is the version of the configuration that requests are routed by, or 0.
func (e *Entry) versionInForce() int64 {
	if t := e.table.Load(); t != nil {
		return t.Version()
	}
	return 0
}

// addNewerConfiguration compares the version that a calling VM has in force with this one's. The VM with
// the older one gets the newer one: with this reply, or by asking the calling VM. Versions are compared
// apart from revisions, as a store that returns from a copy can have an older configuration at a newer
// revision, which a VM that starts then reads. The caller holds the lock.
func (e *Entry) addNewerConfiguration(request *gatherv1.FetchRequest, reply *gatherv1.FetchReply) {
	if request.Version == nil {
		return
	}
	if request.GetVersion() > reply.GetVersion() {
		e.hearNewerVersion(request.GetName(), request.GetVersion())
		return
	}
	isConfiguration := func(i *gatherv1.Item) bool { return i.GetKey() == platform.ConfigurationKey }
	if request.GetVersion() == reply.GetVersion() || slices.ContainsFunc(reply.GetItems(), isConfiguration) {
		return
	}
	if c := e.relayer.Value(platform.ConfigurationKey); c.Present() {
		reply.Configuration = encodeItems([]storer.Value{c})[0]
	}
}

// compareVersions handles what another VM's reply says of the configuration that it has in force. The caller
// has begun to apply the reply.
func (e *Entry) compareVersions(vm string, reply *gatherv1.FetchReply) {
	if c := reply.GetConfiguration(); c != nil && reply.GetVersion() > e.versionInForce() {
		e.log.Info("newer-configuration", "peer", vm, "version", reply.GetVersion(), "previous", e.versionInForce())
		e.applyChange(decodeItems([]*gatherv1.Item{c})[0], e.revision(), true)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if reply.GetVersion() > e.versionInForce() {
		e.hearNewerVersion(vm, reply.GetVersion())
	}
}

// hearNewerVersion records that a VM has a newer version of the configuration in force than this one, and
// has it asked for that. The caller holds the lock.
func (e *Entry) hearNewerVersion(vm string, version int64) {
	now := e.clock.Now()
	n := newerVersion{version: version, vm: vm, firstAt: now, lastAt: now}
	if known, ok := e.missedVersion(); ok {
		n.version, n.firstAt = max(version, known.version), known.firstAt
	}
	e.newer.Store(&n)
	e.refresher.Announce(vm)
}

// missedVersion returns the newest version of the configuration that other VMs have in force, if it is
// newer than the one in force here.
func (e *Entry) missedVersion() (newerVersion, bool) {
	n := e.newer.Load()
	if n == nil || n.version <= e.versionInForce() || e.clock.Now()-n.lastAt > newerVersionTTL {
		return newerVersion{}, false
	}
	return *n, true
}

// describeView lists log keys and values that tell where the view is from, and which newer configuration is
// known.
func (e *Entry) describeView() []any {
	var fields []any
	if o := e.viewOrigin.Load(); o != nil {
		fields = append(fields, "era", platform.EraOf(o.revision), "revision", platform.StoreRevision(o.revision), "source", o.source)
	}
	if n, ok := e.missedVersion(); ok {
		fields = append(fields, "newer-version", n.version, "newer-from", n.vm, "newer-for-ms", int64(e.clock.Now()-n.firstAt))
	}
	return fields
}
