package gossiper

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"cicadagrade.example/tier"
)

// BenchmarkGossip measures one data centre of n members on the manual clock:
//
//	go test ./gossiper -run '^$' -bench Gossip -benchtime 1x
func BenchmarkGossip(b *testing.B) {
	for _, n := range []int{7, 30, 100, 270} {
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) {
			for range b.N {
				measure(b, n)
			}
		})
	}
}

func measure(b *testing.B, n int) {
	w := startAll(b, n)
	w.mustAgree(5*tier.Minute, "start of all")
	w.run(5*tier.Minute, nil)
	measureIdle(b, w, "idle")
	measureChanges(b, w)
	measureLoad(b, w)
	w.run(tier.Minute, nil)
	measureDeaths(b, w)
}

// BenchmarkReplacement measures the start of n members at once, and the
// replacement of half of them under the same addresses:
//
//	go test ./gossiper -run '^$' -bench Replacement -benchtime 1x
func BenchmarkReplacement(b *testing.B) {
	for _, n := range []int{7, 30, 100, 270} {
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) {
			for range b.N {
				w := startAll(b, n)
				b.ReportMetric(float64(w.mustAgree(5*tier.Minute, "start of all")), "start-ms")
				w.run(tier.Minute, nil)
				measureReplacement(b, w)
			}
		})
	}
}

func startAll(b *testing.B, n int) *network {
	w := newNetwork(b, uint64(n))
	for i := range n {
		w.add(testVM("caxias", i, 0), testVM("caxias", 0, 0).Address(), testVM("caxias", n/2, 0).Address())
	}
	return w
}

// measureIdle reports bytes and processor time for each VM, over a minute.
func measureIdle(b *testing.B, w *network, what string) {
	for _, n := range w.nodes {
		n.sent = 0
	}
	start := time.Now()
	w.run(tier.Minute, nil)
	spent := time.Since(start)
	var sent []float64
	for _, n := range w.nodes {
		sent = append(sent, float64(n.sent)/60)
	}
	b.ReportMetric(mean(sent), what+"-sent-B/s")
	b.ReportMetric(slices.Max(sent), what+"-max-sent-B/s")
	b.ReportMetric(float64(spent.Microseconds())/60/float64(len(w.nodes)), what+"-cpu-us/s")
}

// measureChanges reports how long a value takes to be known everywhere.
func measureChanges(b *testing.B, w *network) {
	var times []float64
	for i := range 40 {
		n := w.nodes[w.random.IntN(len(w.nodes))]
		from := w.now()
		w.step(n, NewAnnounce("profiles", 1, uint64(i+1), []byte("0123456789abcdef")))
		known := func() bool {
			return !slices.ContainsFunc(w.nodes, func(o *node) bool {
				_, revision, _, _ := o.Shared("profiles")
				return revision < uint64(i+1)
			})
		}
		if !w.run(tier.Minute, known) {
			b.Fatalf("change %d is not known everywhere after a minute", i)
		}
		times = append(times, float64(w.now()-from))
		w.run(tier.Millis(w.random.IntN(5000)), nil)
	}
	report(b, times, "change")
}

// measureLoad reports bytes while a tenth of the VMs, at least 3, publish
// 60 bytes each second.
func measureLoad(b *testing.B, w *network) {
	for i := range max(3, len(w.nodes)/10) {
		n := w.nodes[i]
		var publish func()
		left := 120
		publish = func() {
			w.step(n, NewPublish("set/portao", fmt.Appendf(nil, "%060d", left)))
			if left--; left > 0 {
				w.after(tier.Second, publish)
			}
		}
		w.after(tier.Millis(w.random.IntN(1000)), publish)
	}
	w.run(tier.Minute, nil)
	measureIdle(b, w, "publishing")
}

// measureDeaths reports how long a VM that vanishes is taken for alive, where
// its machine refuses connections, and where it does not answer.
func measureDeaths(b *testing.B, w *network) {
	var refused, silent []float64
	for i := range 5 {
		refused = append(refused, measureDeath(b, w, func(n *node) { w.kill(n) }))
		silent = append(silent, measureDeath(b, w, func(n *node) { n.paused = true }))
		for _, n := range w.nodes {
			n.paused = false
		}
		w.add(testVM("caxias", 1000+i, 0), w.nodes[0].address)
		w.run(tier.Minute, nil)
		w.mustAgree(5*tier.Minute, "after deaths")
	}
	report(b, refused, "death-refused")
	report(b, silent, "death-silent")
}

func measureDeath(b *testing.B, w *network, end func(n *node)) float64 {
	n := w.nodes[1+w.random.IntN(len(w.nodes)-1)]
	from := w.now()
	end(n)
	buried := func() bool {
		return !slices.ContainsFunc(w.nodes, func(o *node) bool { return o != n && !o.records[n.name].dead })
	}
	if !w.run(5*tier.Minute, buried) {
		b.Fatalf("%s is not dead everywhere", n.name)
	}
	return float64(w.now() - from)
}

// measureReplacement reports how long members differ after half the VMs are
// replaced at once, under the same addresses.
func measureReplacement(b *testing.B, w *network) {
	half := slices.Clone(w.nodes[:len(w.nodes)/2])
	for _, n := range half {
		w.add(n.own.vm.With(tier.WithIncarnation(n.own.incarnation+1000)), w.nodes[len(w.nodes)-1].address)
	}
	b.ReportMetric(float64(w.mustAgree(5*tier.Minute, "replacement of half")), "replaced-ms")
}

func report(b *testing.B, times []float64, what string) {
	slices.Sort(times)
	b.ReportMetric(times[len(times)/2], what+"-median-ms")
	b.ReportMetric(times[len(times)-1], what+"-worst-ms")
}

func mean(list []float64) float64 {
	sum := 0.0
	for _, v := range list {
		sum += v
	}
	return sum / float64(len(list))
}
