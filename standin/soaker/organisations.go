package soaker

import (
	"fmt"
	"math/rand/v2"
)

// Organisations of the configuration. Each has a key that is always valid, and one that is
// valid in one version only.
const (
	organisationPlain      = "acme"
	organisationRestricted = "borealis" // served in some regions only
	organisationCapped     = "capped"   // has a quota below its usual rate

	quotaPerSecond = 20
	quotaBurst     = 20
	pinnedRegion   = "north"

	// keyPrefix starts all keys, so that a leaf's request is easily searched for them.
	keyPrefix = "soak-key-"
)

// Fractions of requests.
const (
	newestKeyShare          = 0.1  // with the key that only the newest version has
	withdrawnKeyShare       = 0.05 // with the key that only the version before had
	keylessShare            = 0.3  // of the public route, without a key
	forgedOrganisationShare = 0.1  // with a caller's own Tenant header
)

var organisations = []string{organisationPlain, organisationRestricted, organisationCapped}

// regionsOfOrganisation and regionsOfRoute list the allowed regions; without an entry, all are
// allowed.
var (
	regionsOfOrganisation = map[string][]string{organisationRestricted: {"north", "west"}}
	regionsOfRoute        = map[string][]string{routePinned: {pinnedRegion}}
)

func permanentKey(organisation string) string { return keyPrefix + organisation }

// versionKey is an organisation's key that only the given version of the configuration has.
func versionKey(organisation string, number int64) string {
	return fmt.Sprintf("%s%s-v%d", keyPrefix, organisation, number)
}

// keysOfVersion lists the keys of a version of the configuration.
func keysOfVersion(number int64) []string {
	var keys []string
	for _, o := range organisations {
		keys = append(keys, permanentKey(o), versionKey(o, number))
	}
	return keys
}

// organisationList is the organisations of a version of the configuration.
func organisationList(number int64) []map[string]any {
	var list []map[string]any
	for _, o := range organisations {
		fields := map[string]any{
			"name": o, "apiKeys": []string{permanentKey(o), versionKey(o, number)}, "allowedRegions": regionsOfOrganisation[o],
		}
		if o == organisationCapped {
			fields["ratePerS"], fields["burst"] = quotaPerSecond, quotaBurst
		}
		list = append(list, fields)
	}
	return list
}

// organisationOf is the organisation of a caller: half of the callers share one.
func organisationOf(caller int) string {
	return [...]string{organisationPlain, organisationPlain, organisationRestricted, organisationCapped}[caller%4]
}

// drawKey draws the key of a request.
func (s *Soak) drawKey(r *rand.Rand, caller int, q *request) {
	if k := r.Float64(); q.route == routeLine && k < keylessShare {
		return
	}
	q.organisation = organisationOf(caller)
	q.key = permanentKey(q.organisation)
	var newest int64
	s.history.update(func() { newest = s.history.versions[len(s.history.versions)-1].number })
	switch k := r.Float64(); {
	case k < newestKeyShare:
		q.key, q.alwaysRouted = versionKey(q.organisation, newest), false
	case k < newestKeyShare+withdrawnKeyShare:
		q.key, q.alwaysRouted = versionKey(q.organisation, newest-1), false
	}
}
