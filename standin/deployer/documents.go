package deployer

type deploymentDocument struct {
	Name        string               `json:"name"`
	Seed        uint64               `json:"seed"`
	Store       string               `json:"store"`
	Control     string               `json:"control"`
	Links       string               `json:"links,omitempty"`
	DataCentres []dataCentreDocument `json:"data-centres"`
	VMs         []vmDocument         `json:"vms"`
	Profiles    string               `json:"profiles"`
	Sets        []string             `json:"sets"`
}

type dataCentreDocument struct {
	Name   string `json:"name"`
	Region string `json:"region"`
}

type vmDocument struct {
	Name       string `json:"name"`
	DataCentre string `json:"data-centre"`
	API        string `json:"api"`
	Peer       string `json:"peer"`
}
