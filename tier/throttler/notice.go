// Package throttler keeps this VM's calls within the request rates that leafs (backend
// servers) ask for in their replies.
package throttler

// Notice is what a reply of a leaf says of the rate of requests that it takes.
type Notice interface{ notice() }

// RateLimit asks all VMs together for no more than a number of requests a second.
type RateLimit struct{ PerSecond float64 }

// NoRateLimit asks for nothing. It ends an earlier limit.
type NoRateLimit struct{}

func (RateLimit) notice()   {}
func (NoRateLimit) notice() {}
