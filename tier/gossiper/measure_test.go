package gossiper

import (
	"fmt"
	"runtime"
	"slices"
	"strconv"
	"strings"
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
				measureDataCentre(b, n)
			}
		})
	}
}

func measureDataCentre(b *testing.B, n int) {
	w := startAll(b, n)
	w.mustConverge(5*tier.Minute, "start of all")
	w.run(5*tier.Minute, nil)
	measureIdle(b, w, "idle")
	measureChanges(b, w)
	measureLeaving(b, w)
	measureLoad(b, w, "publishing", max(3, n/10), 60, tier.Second)
	if n == 7 {
		measureLoad(b, w, "flood", 5, 350, tier.Second/2)
	}
	w.run(tier.Minute, nil)
	measureDeaths(b, w)
}

// BenchmarkHeartbeats measures the alternative that was not chosen: each VM writes a
// heartbeat each second, and others judge it by the age of the last one they hold:
//
//	go test ./gossiper -run '^$' -bench Heartbeats -benchtime 1x
func BenchmarkHeartbeats(b *testing.B) {
	for _, n := range []int{7, 30, 100} {
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) {
			for range b.N {
				w := startAll(b, n)
				w.mustConverge(5*tier.Minute, "start of all")
				measureLoad(b, w, "heartbeat", n, 13, tier.Second)
			}
		})
	}
}

// BenchmarkReplacement measures the start of n members at once, and the replacement of
// half of them at the same addresses:
//
//	go test ./gossiper -run '^$' -bench Replacement -benchtime 1x
func BenchmarkReplacement(b *testing.B) {
	for _, n := range []int{7, 30, 100, 270} {
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) {
			for range b.N {
				w := startAll(b, n)
				measureAgreement(b, w, "start")
				measureMemory(b, n)
				w.run(tier.Minute, nil)
				replaceHalf(w)
				measureAgreement(b, w, "replaced")
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

// measureIdle reports the bytes sent and the processor time of each VM, over a minute.
func measureIdle(b *testing.B, w *network, label string) {
	for _, n := range w.nodes {
		n.sentBytes = 0
	}
	start := time.Now()
	w.run(tier.Minute, nil)
	spent := time.Since(start)
	var sent []float64
	for _, n := range w.nodes {
		sent = append(sent, float64(n.sentBytes)/60)
	}
	b.ReportMetric(mean(sent), label+"-sent-B/s")
	b.ReportMetric(slices.Max(sent), label+"-max-sent-B/s")
	b.ReportMetric(float64(spent.Microseconds())/60/float64(len(w.nodes)), label+"-cpu-us/s")
}

// measureChanges reports how long a shared value takes to reach all VMs.
func measureChanges(b *testing.B, w *network) {
	var times []float64
	for i := range 40 {
		n := w.nodes[w.random.IntN(len(w.nodes))]
		from := w.now()
		w.step(n, NewPublishShared("profiles", 1, uint64(i+1), []byte("0123456789abcdef")))
		known := func() bool {
			return !slices.ContainsFunc(w.nodes, func(o *node) bool {
				_, revision, _, _ := o.Shared("profiles")
				return revision < uint64(i+1)
			})
		}
		if !w.run(tier.Minute, known) {
			b.Fatalf("change %d has not reached all VMs after a minute", i)
		}
		times = append(times, float64(w.now()-from))
		w.run(tier.Millis(w.random.IntN(5000)), nil)
	}
	report(b, times, "change")
}

// measureLeaving reports how long it takes until all VMs know that a backend server is
// leaving, after the VM that owns it published this.
func measureLeaving(b *testing.B, w *network) {
	var times []float64
	for i := range 40 {
		n := w.nodes[w.random.IntN(len(w.nodes))]
		key := fmt.Sprintf("leaving/contas-%d", i)
		from := w.now()
		w.step(n, NewPublish(key, []byte("1")))
		known := func() bool {
			return !slices.ContainsFunc(w.nodes, func(o *node) bool { return len(o.records[n.name].entries[key].value) == 0 })
		}
		if !w.run(tier.Minute, known) {
			b.Fatalf("%s has not reached all VMs after a minute", key)
		}
		times = append(times, float64(w.now()-from))
		w.step(n, NewPublish(key, nil))
		w.run(10*tier.Second, nil)
	}
	report(b, times, "leaving")
}

// BenchmarkDataCentres measures 9 VMs in each of several data centres with a latency
// of 20 ms between them. Each VM keeps 8 VMs of every other data centre:
//
//	go test ./gossiper -run '^$' -bench DataCentres -benchtime 1x
func BenchmarkDataCentres(b *testing.B) {
	for _, n := range []int{3, 10, 30} {
		b.Run(fmt.Sprintf("data-centres=%d", n), func(b *testing.B) {
			for range b.N {
				measureDataCentres(b, n)
			}
		})
	}
}

func measureDataCentres(b *testing.B, n int) {
	w := newNetwork(b, uint64(n))
	w.latency = func(a, b *node) tier.Millis {
		if a.localDataCentre == b.localDataCentre {
			return 1
		}
		return 20
	}
	for d := range n {
		for i := range 9 {
			vm := tier.NewVM(fmt.Sprintf("dc%d-%d", d, i), fmt.Sprintf("dc%d", d), fmt.Sprintf("10.1.%d.%d:7000", d, i+1), tier.WithIncarnation(1_764_800_000_000))
			w.add(vm, fmt.Sprintf("10.1.%d.1:7000", d), "10.1.0.1:7000")
		}
	}
	w.run(5*tier.Minute, nil)
	w.mustReachAll(b, n)
	measureIdle(b, w, "idle")
	var contacts []float64
	for _, o := range w.nodes {
		if o.isContact() {
			contacts = append(contacts, float64(o.sentBytes)/60)
		}
	}
	b.ReportMetric(mean(contacts), "contact-sent-B/s")
	b.ReportMetric(float64(len(w.nodes[0].records)), "records")
	measureChanges(b, w)
	measureCuts(b, w)
}

// measureCuts reports how long it takes until all VMs elsewhere see that a data centre
// is cut off, and until all see that it is back.
func measureCuts(b *testing.B, w *network) {
	var cut, healed []float64
	for range 5 {
		cut = append(cut, w.timeUntilSeen(b, true))
		w.run(tier.Minute, nil)
		healed = append(healed, w.timeUntilSeen(b, false))
		w.run(tier.Minute, nil)
	}
	report(b, cut, "cut-seen")
	report(b, healed, "healing-seen")
}

func (w *network) timeUntilSeen(b *testing.B, cut bool) float64 {
	w.isCut = connected
	if cut {
		w.isCut = partitionBy(func(n *node) bool { return n.localDataCentre == "dc1" })
	}
	from := w.now()
	seen := func() bool {
		return !slices.ContainsFunc(w.nodes, func(o *node) bool { return o.localDataCentre != "dc1" && o.Reachable("dc1") == cut })
	}
	if !w.run(5*tier.Minute, seen) {
		b.Fatalf("not all VMs have detected cut=%v", cut)
	}
	return float64(w.now() - from)
}

// mustReachAll checks that each node knows VMs of each data centre and reaches it.
func (w *network) mustReachAll(b *testing.B, n int) {
	for _, o := range w.nodes {
		for d := range n {
			name := fmt.Sprintf("dc%d", d)
			if !o.Reachable(name) || len(o.rankedMembers(name)) < 8 {
				b.Fatalf("%s: %s reachable %v, %d VMs of it known, want at least 8", o.name, name, o.Reachable(name), len(o.rankedMembers(name)))
			}
		}
	}
}

// measureLoad reports the bytes sent, and the age of the values held by other VMs,
// while some VMs publish values of a given size at an interval for three minutes.
func measureLoad(b *testing.B, w *network, label string, publishers, size int, every tier.Millis) {
	end := w.now() + 3*tier.Minute
	for _, n := range w.nodes[:publishers] {
		var publish func()
		publish = func() {
			value := fmt.Sprintf("%0*d", size, w.now())
			w.step(n, NewPublish("set/"+n.name, []byte(value)))
			if w.now() < end {
				w.after(every, publish)
			}
		}
		w.after(tier.Millis(w.random.IntN(1000)), publish)
	}
	w.run(2*tier.Minute, nil)
	var ages []float64
	for range 20 {
		w.run(tier.Second, nil)
		ages = append(ages, w.entryAges(publishers)...)
	}
	report(b, ages, label+"-age")
	measureIdle(b, w, label)
	w.run(tier.Minute, nil)
}

// entryAges lists the ages of the publishers' entries as held by all other VMs.
func (w *network) entryAges(publishers int) []float64 {
	var out []float64
	for _, n := range w.nodes[:publishers] {
		for _, o := range w.nodes {
			if r := o.records[n.name]; o != n && r != nil {
				written, _ := strconv.ParseInt(strings.TrimLeft(string(r.entries["set/"+n.name].value), "0"), 10, 64)
				out = append(out, float64(int64(w.now())-written))
			}
		}
	}
	return out
}

// measureDeaths reports how long it takes until all VMs declare a vanished VM dead:
// with refused connections, and with connections that time out.
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
		w.mustConverge(5*tier.Minute, "after deaths")
	}
	report(b, refused, "death-refused")
	report(b, silent, "death-silent")
}

func measureDeath(b *testing.B, w *network, end func(n *node)) float64 {
	n := w.nodes[1+w.random.IntN(len(w.nodes)-1)]
	from := w.now()
	end(n)
	allDeclaredDead := func() bool {
		return !slices.ContainsFunc(w.nodes, func(o *node) bool { return o != n && !o.records[n.name].dead })
	}
	if !w.run(5*tier.Minute, allDeclaredDead) {
		b.Fatalf("not all VMs have declared %s dead", n.name)
	}
	return float64(w.now() - from)
}

// measureMemory reports the heap per VM, including that of the test itself.
func measureMemory(b *testing.B, n int) {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	b.ReportMetric(float64(m.HeapAlloc)/float64(n)/1024, "heap-KiB")
}

func replaceHalf(w *network) {
	for _, n := range slices.Clone(w.nodes[:len(w.nodes)/2]) {
		w.add(n.self.vm.With(tier.WithIncarnation(n.self.incarnation+1000)), w.nodes[len(w.nodes)-1].address)
	}
}

// measureAgreement reports how long it takes until 99 of 100 member records over all
// VMs are correct, and until all are.
func measureAgreement(b *testing.B, w *network, label string) {
	from := w.now()
	limit := len(w.nodes) * len(w.nodes) / 100
	if !w.run(5*tier.Minute, func() bool { return w.countWrong() <= limit }) {
		b.Fatalf("%s: members differ:\n%s", label, w.describeViews())
	}
	b.ReportMetric(float64(w.now()-from), label+"-99%-ms")
	b.ReportMetric(float64(w.now()-from+w.mustConverge(5*tier.Minute, label)), label+"-all-ms")
}

func report(b *testing.B, times []float64, label string) {
	slices.Sort(times)
	b.ReportMetric(times[len(times)/2], label+"-median-ms")
	b.ReportMetric(times[len(times)-1], label+"-worst-ms")
}

func mean(list []float64) float64 {
	sum := 0.0
	for _, v := range list {
		sum += v
	}
	return sum / float64(len(list))
}
