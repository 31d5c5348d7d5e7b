package exchanger

import (
	"fmt"
	"net"
	"sync/atomic"
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
	startCPU, startSent, startBytes := processorTime(), f.sent(), f.bytes.Load()
	time.Sleep(span * time.Second)
	spent, sent, bytes := processorTime()-startCPU, f.sent()-startSent, f.bytes.Load()-startBytes
	b.ReportMetric(float64(spent.Microseconds())/span/float64(n), "cpu-us/s/VM")
	b.ReportMetric(float64(sent)/span/float64(n), "estimated-sent-B/s/VM")
	b.ReportMetric(float64(bytes)/span/float64(n), "wire-sent-B/s/VM")
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

// countingListener counts the bytes of its connections, both ways.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return countingConn{Conn: c, bytes: l.bytes}, err
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}
