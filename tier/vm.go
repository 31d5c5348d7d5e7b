package tier

// VMState is the membership state of a VM.
type VMState int

// The states of a VM. A VM announces the first three itself; only its peers declare it dead.
const (
	VMJoining VMState = iota
	VMLive
	VMLeaving
	VMDead
)

var vmStateNames = [...]string{"joining", "live", "leaving", "dead"}

// String returns the state's name, as used in status pages and logs.
func (s VMState) String() string {
	if s < VMJoining || s > VMDead {
		return "unknown"
	}
	return vmStateNames[s]
}

// VM is one incarnation of an entry VM, as a member of the deployment.
type VM struct {
	name        string
	dataCentre  string
	address     string
	incarnation Incarnation
	state       VMState
}

// VMOption sets one field of a VM.
type VMOption func(*VM)

// WithIncarnation sets the VM's incarnation.
func WithIncarnation(i Incarnation) VMOption { return func(v *VM) { v.incarnation = i } }

// WithVMState sets the VM's state.
func WithVMState(s VMState) VMOption { return func(v *VM) { v.state = s } }

// NewVM returns a VM that peers reach at address, an IP address and port. Without options it
// is joining.
func NewVM(name, dataCentre, address string, opts ...VMOption) VM {
	v := VM{name: name, dataCentre: dataCentre, address: address}
	for _, o := range opts {
		o(&v)
	}
	return v
}

// Name is the VM's name, unique within its deployment.
func (v VM) Name() string { return v.name }

// DataCentre is the data centre that the VM runs in.
func (v VM) DataCentre() string { return v.dataCentre }

// Address is the IP address and port at which peers reach the VM.
func (v VM) Address() string { return v.address }

// Incarnation is the VM's incarnation.
func (v VM) Incarnation() Incarnation { return v.incarnation }

// State is the VM's membership state.
func (v VM) State() VMState { return v.state }

// With returns a copy of v with the options applied.
func (v VM) With(opts ...VMOption) VM {
	for _, o := range opts {
		o(&v)
	}
	return v
}
