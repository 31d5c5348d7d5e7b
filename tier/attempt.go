package tier

import "fmt"

// Incarnation tells successive runs of a VM apart: a VM that is restarted or replaced under
// the same name takes a higher one. It is the Unix time of the start in milliseconds, unless
// a peer has seen a higher incarnation of the VM.
type Incarnation uint64

// AttemptID identifies one leaf call. It is unique among the leaf calls of all VMs.
type AttemptID struct {
	vm          string
	incarnation Incarnation
	counter     uint64
}

// NewAttemptID returns the id of the counter-th leaf call of one incarnation of a VM.
func NewAttemptID(vm string, i Incarnation, counter uint64) AttemptID {
	return AttemptID{vm: vm, incarnation: i, counter: counter}
}

// VM is the name of the VM that makes the call.
func (a AttemptID) VM() string { return a.vm }

// Incarnation is the incarnation of the VM that makes the call.
func (a AttemptID) Incarnation() Incarnation { return a.incarnation }

// Counter is the number of the call within the VM's incarnation.
func (a AttemptID) Counter() uint64 { return a.counter }

// String is the id as sent on the wire, such as "caxias-1/1764800000000/42".
func (a AttemptID) String() string {
	return fmt.Sprintf("%s/%d/%d", a.vm, a.incarnation, a.counter)
}
