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
	measureLeaving(b, w)
	measureLoad(b, w, "publishing", max(3, n/10), 60, tier.Second)
	if n == 7 {
		measureLoad(b, w, "flood", 5, 350, tier.Second/2)
	}
	w.run(tier.Minute, nil)
	measureDeaths(b, w)
}

// BenchmarkHeartbeats measures the way not taken, in which each VM writes a
// heartbeat each second and is judged by the age of the last one held:
//
//	go test ./gossiper -run '^$' -bench Heartbeats -benchtime 1x
func BenchmarkHeartbeats(b *testing.B) {
	for _, n := range []int{7, 30, 100} {
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) {
			for range b.N {
				w := startAll(b, n)
				w.mustAgree(5*tier.Minute, "start of all")
				measureLoad(b, w, "heartbeat", n, 13, tier.Second)
			}
		})
	}
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

// measureLeaving reports how long an owner's sign that a backend server leaves
// takes to be known everywhere.
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
			b.Fatalf("%s is not known everywhere after a minute", key)
		}
		times = append(times, float64(w.now()-from))
		w.step(n, NewPublish(key, nil))
		w.run(10*tier.Second, nil)
	}
	report(b, times, "leaving")
}

// BenchmarkDataCentres measures 9 VMs in each of several data centres, 20 ms
// apart, of which each VM keeps 8 of every other:
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
		if a.home == b.home {
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
		if o.contact() {
			contacts = append(contacts, float64(o.sent)/60)
		}
	}
	b.ReportMetric(mean(contacts), "contact-sent-B/s")
	b.ReportMetric(float64(len(w.nodes[0].records)), "records")
	measureChanges(b, w)
	measureCuts(b, w)
}

// measureCuts reports how long it takes until no VM elsewhere takes a data
// centre for reachable that is cut off, and until all do once it is back.
func measureCuts(b *testing.B, w *network) {
	var cut, healed []float64
	for range 5 {
		cut = append(cut, w.until(b, true))
		w.run(tier.Minute, nil)
		healed = append(healed, w.until(b, false))
		w.run(tier.Minute, nil)
	}
	report(b, cut, "cut-seen")
	report(b, healed, "healing-seen")
}

func (w *network) until(b *testing.B, cut bool) float64 {
	w.cut = uncut
	if cut {
		w.cut = splitBy(func(n *node) bool { return n.home == "dc1" })
	}
	from := w.now()
	seen := func() bool {
		return !slices.ContainsFunc(w.nodes, func(o *node) bool { return o.home != "dc1" && o.Reachable("dc1") == cut })
	}
	if !w.run(5*tier.Minute, seen) {
		b.Fatalf("cut %v is not seen everywhere", cut)
	}
	return float64(w.now() - from)
}

// mustReachAll checks that each node knows VMs of each data centre, and that
// it reaches them.
func (w *network) mustReachAll(b *testing.B, n int) {
	for _, o := range w.nodes {
		for d := range n {
			name := fmt.Sprintf("dc%d", d)
			if !o.Reachable(name) || len(o.ranked(name)) < 8 {
				b.Fatalf("%s: %s reachable %v, knows %d", o.name, name, o.Reachable(name), len(o.ranked(name)))
			}
		}
	}
}

// measureLoad reports bytes, and the age of what other VMs hold, while some
// VMs publish a value of a size at an interval for three minutes.
func measureLoad(b *testing.B, w *network, what string, publishers, size int, every tier.Millis) {
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
		ages = append(ages, w.ages(publishers)...)
	}
	report(b, ages, what+"-age")
	measureIdle(b, w, what)
	w.run(tier.Minute, nil)
}

// ages lists how long ago each VM's publishers wrote what it holds of them.
func (w *network) ages(publishers int) []float64 {
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

// measureMemory reports the heap of each VM, the test's share included.
func measureMemory(b *testing.B, n int) {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	b.ReportMetric(float64(m.HeapAlloc)/float64(n)/1024, "heap-KiB")
}

func replaceHalf(w *network) {
	for _, n := range slices.Clone(w.nodes[:len(w.nodes)/2]) {
		w.add(n.own.vm.With(tier.WithIncarnation(n.own.incarnation+1000)), w.nodes[len(w.nodes)-1].address)
	}
}

// measureAgreement reports how long it takes until 99 of 100 members are held
// rightly, over all VMs, and until all are.
func measureAgreement(b *testing.B, w *network, what string) {
	from := w.now()
	limit := len(w.nodes) * len(w.nodes) / 100
	if !w.run(5*tier.Minute, func() bool { return w.wrong() <= limit }) {
		b.Fatalf("%s: members differ:\n%s", what, w.views())
	}
	b.ReportMetric(float64(w.now()-from), what+"-99%-ms")
	b.ReportMetric(float64(w.now()-from+w.mustAgree(5*tier.Minute, what)), what+"-all-ms")
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
