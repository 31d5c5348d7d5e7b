package deployer

import (
	"fmt"

	"github.com/pkg/errors"

	"cicadagrade.example/tier"
)

// Limits of a deployment generated for a measurement. Its ports are less than 5000
// above its port base.
const (
	maxSizedDataCentres = 30
	maxSizedVMs         = 500
	maxSizedShards      = 1000
	maxPortBase         = 27000
	minPortBase         = 1024
	sizedSet            = "portao"
)

// Sizes are the sizes of a deployment generated for a measurement. VMs and shards are
// spread evenly over the data centres, and each shard has two servers of its own.
type Sizes struct {
	name        string
	portBase    int
	dataCentres int
	vms         int
	shards      int
}

// NewSizes returns the sizes of a deployment. Its ports start at portBase.
func NewSizes(name string, portBase, dataCentres, vms, shards int) Sizes {
	return Sizes{name: name, portBase: portBase, dataCentres: dataCentres, vms: vms, shards: shards}
}

// Validate returns an error that names every size outside its limits.
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
	check("data-centres", z.dataCentres, 1, maxSizedDataCentres)
	check("vms", z.vms, max(z.dataCentres, 1), maxSizedVMs)
	check("shards", z.shards, max(z.dataCentres, 1), maxSizedShards)
	return tier.NewInvalidError("deployment "+z.name, l)
}

// WriteSized writes the files of a deployment of the given sizes to dir.
func WriteSized(dir string, z Sizes) error {
	if err := z.Validate(); err != nil {
		return errors.Wrap(err, "WriteSized")
	}
	return errors.Wrap(z.plan().write(dir), "WriteSized")
}

// plan returns the plan of the associacao deployment with other sizes, ports and a
// single set.
func (z Sizes) plan() deploymentPlan {
	p := associacao()
	p.name = z.name
	p.portBase = z.portBase
	p.apiPort = 3500
	p.peerPort = 4000
	p.dataCentres = nil
	for i := range z.dataCentres {
		name := fmt.Sprintf("centre-%02d", i+1)
		p.dataCentres = append(p.dataCentres, dataCentreDocument{Name: name, Region: name})
	}
	p.vmCounts = divideEvenly(z.vms, z.dataCentres)
	p.sets = []setPlan{pairedPlan(sizedSet, divideEvenly(z.shards, z.dataCentres)...)}
	return p
}

// divideEvenly divides n into count parts that differ by at most 1, the larger ones
// first.
func divideEvenly(n, count int) []int {
	out := make([]int, count)
	for i := range out {
		out[i] = n / count
		if i < n%count {
			out[i]++
		}
	}
	return out
}
