package tier

import "fmt"

// Incarnation numbers the lives of a VM: a replaced or restarted VM takes a
// higher one. It is the wall time of its start in milliseconds, unless a
// peer has seen a higher one.
type Incarnation uint64

// AttemptID names one leaf call. No two leaf calls of the fleet share one.
type AttemptID struct {
	vm          string
	incarnation Incarnation
	counter     uint64
}

// NewAttemptID returns the id of the counter-th call of a VM's life.
func NewAttemptID(vm string, i Incarnation, counter uint64) AttemptID {
	return AttemptID{vm: vm, incarnation: i, counter: counter}
}

// VM is the VM that makes the call.
func (a AttemptID) VM() string { return a.vm }

// Incarnation is the life of the VM that makes the call.
func (a AttemptID) Incarnation() Incarnation { return a.incarnation }

// Counter numbers the calls of that life.
func (a AttemptID) Counter() uint64 { return a.counter }

// String is the form on the wire, such as "caxias-1/1764800000000/42".
func (a AttemptID) String() string {
	return fmt.Sprintf("%s/%d/%d", a.vm, a.incarnation, a.counter)
}
