package deployer

import (
	"fmt"

	"github.com/pkg/errors"

	"cicadagrade.example/tier"
)

// Bounds of a deployment made for a measurement. Its ports lie within 5000
// of its port base.
const (
	maxSizedCentres = 30
	maxSizedVMs     = 500
	maxSizedShards  = 1000
	maxPortBase     = 27000
	minPortBase     = 1024
	sizedSet        = "portao"
)

// Sizes are those of a deployment made for a measurement: VMs and shards are
// spread evenly over the data centres, and each shard has two servers of its
// own.
type Sizes struct {
	name        string
	portBase    int
	dataCentres int
	vms         int
	shards      int
}

// NewSizes returns sizes; the ports start at portBase.
func NewSizes(name string, portBase, dataCentres, vms, shards int) Sizes {
	return Sizes{name: name, portBase: portBase, dataCentres: dataCentres, vms: vms, shards: shards}
}

// Validate reports every bad size.
func (z Sizes) Validate() error {
	var l []tier.FieldProblem
	check := func(name string, n, low, high int) {
		if n < low || n > high {
			l = append(l, tier.NewFieldProblem(name, n, fmt.Sprintf("%d to %d", low, high)))
		}
	}
	if !tier.ValidName(z.name) {
		l = append(l, tier.NewFieldProblem("name", z.name, "a kebab-case name of at most 63 characters"))
	}
	check("port-base", z.portBase, minPortBase, maxPortBase)
	check("data-centres", z.dataCentres, 1, maxSizedCentres)
	check("vms", z.vms, max(z.dataCentres, 1), maxSizedVMs)
	check("shards", z.shards, max(z.dataCentres, 1), maxSizedShards)
	return tier.NewInvalidError("deployment "+z.name, l)
}

// WriteSized writes the files of a deployment of the given sizes under dir.
func WriteSized(dir string, z Sizes) error {
	if err := z.Validate(); err != nil {
		return errors.Wrap(err, "WriteSized")
	}
	return errors.Wrap(z.user().write(dir), "WriteSized")
}

func (z Sizes) user() user {
	u := associacao()
	u.name = z.name
	u.portBase = z.portBase
	u.apiPort = 3500
	u.peerPort = 4000
	u.dataCentres = nil
	for i := range z.dataCentres {
		name := fmt.Sprintf("centre-%02d", i+1)
		u.dataCentres = append(u.dataCentres, dataCentreDocument{Name: name, Region: name})
	}
	u.vmCounts = spread(z.vms, z.dataCentres)
	u.sets = []setPlan{pairedPlan(sizedSet, spread(z.shards, z.dataCentres)...)}
	return u
}

// spread divides n evenly over places, the first ones getting the rest.
func spread(n, places int) []int {
	out := make([]int, places)
	for i := range out {
		out[i] = n / places
		if i < n%places {
			out[i]++
		}
	}
	return out
}
