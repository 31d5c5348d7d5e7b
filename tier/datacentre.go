package tier

// DataCentre is a data centre with its own entry VMs and backend servers.
type DataCentre struct {
	name   string
	region string
}

// NewDataCentre returns a data centre in a region.
func NewDataCentre(name, region string) DataCentre { return DataCentre{name: name, region: region} }

// Name is the data centre's name, such as "serra-caxias".
func (d DataCentre) Name() string { return d.name }

// Region is the region that the data centre is in.
func (d DataCentre) Region() string { return d.region }
