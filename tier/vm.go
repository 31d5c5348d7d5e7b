package tier

// VMState is what a VM says of itself, or its peers of it.
type VMState int

// The states of a VM. Dead is only ever said by peers.
const (
	VMJoining VMState = iota
	VMLive
	VMLeaving
	VMDead
)

var vmStateNames = [...]string{"joining", "live", "leaving", "dead"}

// String is the state's name in status pages and logs.
func (s VMState) String() string {
	if s < VMJoining || s > VMDead {
		return "unknown"
	}
	return vmStateNames[s]
}

// VM is one entry VM in one of its lives.
type VM struct {
	name        string
	dataCentre  string
	address     string
	incarnation Incarnation
	state       VMState
}

// VMOption sets one field of a VM.
type VMOption func(*VM)

// WithIncarnation sets the VM's life.
func WithIncarnation(i Incarnation) VMOption { return func(v *VM) { v.incarnation = i } }

// WithVMState sets the VM's state.
func WithVMState(s VMState) VMOption { return func(v *VM) { v.state = s } }

// NewVM returns a joining VM that peers reach at address, an IP number and
// port.
func NewVM(name, dataCentre, address string, opts ...VMOption) VM {
	v := VM{name: name, dataCentre: dataCentre, address: address}
	for _, o := range opts {
		o(&v)
	}
	return v
}

// Name is unique among the VMs of a deployment.
func (v VM) Name() string { return v.name }

// DataCentre is the data centre it runs in.
func (v VM) DataCentre() string { return v.dataCentre }

// Address is where peers reach it, an IP number and port.
func (v VM) Address() string { return v.address }

// Incarnation is its life.
func (v VM) Incarnation() Incarnation { return v.incarnation }

// State is its state.
func (v VM) State() VMState { return v.state }

// With returns a copy with options applied.
func (v VM) With(opts ...VMOption) VM {
	for _, o := range opts {
		o(&v)
	}
	return v
}
