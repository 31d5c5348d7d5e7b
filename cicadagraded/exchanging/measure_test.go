package exchanging

import (
	"fmt"
	"syscall"
	"testing"
	"time"
)

// BenchmarkExchange measures the processor time of n idle VMs in one process,
// encoding, HTTP and kernel included:
//
//	go test ./exchanging -run '^$' -bench Exchange -benchtime 1x
func BenchmarkExchange(b *testing.B) {
	for _, n := range []int{7, 30, 100} {
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) {
			for range b.N {
				measure(b, n)
			}
		})
	}
}

func measure(b *testing.B, n int) {
	var f fleet
	seed := f.add(b, "caxias")
	for range n - 1 {
		f.add(b, "caxias", seed)
	}
	defer f.stop(b)
	eventually(b, "all live", f.all(func(x *Exchanger) bool { return live(x) == n }))
	time.Sleep(15 * time.Second)
	const span = 15
	startCPU, startSent := processorTime(), f.sent()
	time.Sleep(span * time.Second)
	spent, sent := processorTime()-startCPU, f.sent()-startSent
	b.ReportMetric(float64(spent.Microseconds())/span/float64(n), "cpu-us/s/VM")
	b.ReportMetric(float64(sent)/span/float64(n), "sent-B/s/VM")
}

func (f *fleet) sent() uint64 {
	sum := uint64(0)
	for _, x := range f.vms {
		sum += x.Traffic().Sent()
	}
	return sum
}

func processorTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
