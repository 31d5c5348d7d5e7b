package hedger

import "cicadagrade.example/tier"

// A histogram has one bucket for each millisecond below exactBuckets. Above, it has
// exactBuckets/2 buckets of equal width for each doubling of the latency.
const (
	exactBuckets = 64
	doublings    = 15
	buckets      = exactBuckets + doublings*exactBuckets/2
)

// histogram counts latencies with a relative error of at most 1/32. Those above the last
// doubling count in the last bucket.
type histogram struct {
	counts [buckets]uint32
	total  int
}

func bucketIndex(m tier.Millis) int {
	m = max(m, 0)
	shift := 0
	for m>>shift >= exactBuckets {
		shift++
	}
	if shift > doublings {
		return buckets - 1
	}
	if shift == 0 {
		return int(m)
	}
	return exactBuckets/2*shift + int(m>>shift)
}

// upperBound is the highest latency that bucket i counts.
func upperBound(i int) tier.Millis {
	if i < exactBuckets {
		return tier.Millis(i)
	}
	shift := i/(exactBuckets/2) - 1
	low := tier.Millis(i - exactBuckets/2*shift)
	return (low+1)<<shift - 1
}

func (h *histogram) add(m tier.Millis) {
	h.counts[bucketIndex(m)]++
	h.total++
}
