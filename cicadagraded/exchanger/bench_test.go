package exchanger

import (
	"fmt"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// BenchmarkExchange measures the CPU time and traffic of idle VMs that gossip in one
// process, including encoding, HTTP and the kernel. Each measurement takes at least half a
// minute; run it with
//
//	go test ./exchanger -run '^$' -bench Exchange -benchtime 1x
func BenchmarkExchange(b *testing.B) {
	for _, n := range []int{7, 30, 100} {
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) {
			for range b.N {
				measureCluster(b, n)
			}
		})
	}
}

// measureCluster reports the CPU time and traffic of each VM in a cluster of n VMs.
func measureCluster(b *testing.B, n int) {
	var c cluster
	seed := c.add(b, "caxias")
	for range n - 1 {
		c.add(b, "caxias", seed)
	}
	defer c.stop(b)
	waitFor(b, "all VMs live", c.allVMs(func(x *Exchanger) bool { return countLive(x) == n }))
	time.Sleep(15 * time.Second)
	const span = 15
	startCPU, startSent, startBytes := processCPUTime(), c.sentBytes(), c.wireBytes.Load()
	time.Sleep(span * time.Second)
	spent, sent, bytes := processCPUTime()-startCPU, c.sentBytes()-startSent, c.wireBytes.Load()-startBytes
	b.ReportMetric(float64(spent.Microseconds())/span/float64(n), "cpu-us/s/VM")
	b.ReportMetric(float64(sent)/span/float64(n), "estimated-sent-B/s/VM")
	b.ReportMetric(float64(bytes)/span/float64(n), "wire-sent-B/s/VM")
}

// sentBytes is the number of bytes sent by all VMs, as estimated by the gossipers.
func (c *cluster) sentBytes() uint64 {
	sum := uint64(0)
	for _, x := range c.vms {
		sum += x.Traffic().Sent()
	}
	return sum
}

// processCPUTime is the CPU time that the process has used, user and system.
func processCPUTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// countingListener counts the bytes read and written on its connections.
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
