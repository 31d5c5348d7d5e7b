package hedger

import "cicadagrade.example/tier"

// The histogram counts each millisecond below exactBuckets by itself, and
// divides each doubling above it into exactBuckets/2 buckets.
const (
	exactBuckets = 64
	doublings    = 15
	buckets      = exactBuckets + doublings*exactBuckets/2
)

// histogram counts spans of time with a relative error of at most 1/32.
type histogram struct {
	counts [buckets]uint32
	total  int
}

func bucketOf(m tier.Millis) int {
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

// upper is the largest span that bucket i counts.
func upper(i int) tier.Millis {
	if i < exactBuckets {
		return tier.Millis(i)
	}
	shift := i/(exactBuckets/2) - 1
	low := tier.Millis(i - exactBuckets/2*shift)
	return (low+1)<<shift - 1
}

func (h *histogram) add(m tier.Millis) {
	h.counts[bucketOf(m)]++
	h.total++
}
