package claimer

import (
	"maps"
	"testing"
)

// FuzzDecodePage checks that a decoded page survives encoding and decoding unchanged.
func FuzzDecodePage(f *testing.F) {
	f.Add([]byte(`{"claims":[{"key":"2026-12-04-a","claim":"caxias-1/5/42","generation":1,"fingerprint":"00","state":"answered","receipt":"r"}]}`))
	f.Add([]byte(`{"claims":[{"key":"2026-12-04-a","claim":"caxias-1/5/42","generation":2,"fingerprint":"00","state":"unknown","reason":"lost-reply"}]}`))
	f.Add([]byte(``))
	f.Fuzz(func(t *testing.T, in []byte) {
		entries, err := decodePage(in)
		if err != nil {
			return
		}
		out, err := encodePage(entries)
		if err != nil {
			t.Fatal(err)
		}
		again, err := decodePage(out)
		if err != nil || !maps.Equal(entries, again) {
			t.Fatalf("%q became %q: %v", in, out, err)
		}
	})
}

// FuzzParseKey checks that an accepted key is in its canonical spelling and has a page.
func FuzzParseKey(f *testing.F) {
	f.Add("2026-12-04-order-17")
	f.Add("minted/caxias-1/5/42")
	f.Add("2026-02-30-x")
	f.Fuzz(func(t *testing.T, in string) {
		k, err := ParseKey(in)
		if err != nil {
			return
		}
		if k.String() != in || len(in) > MaxKeyLength {
			t.Fatalf("%q became %q", in, k)
		}
		if k.Minted() {
			if again := mintedKey(k.vm, k.incarnation, k.counter); again != k {
				t.Fatalf("%q is not %q", in, again)
			}
			return
		}
		if k.pageKey("portao", 16) == "" || k.expired(k.day) || k.tooFarAhead(k.day) {
			t.Fatalf("%q has no page or no valid day", in)
		}
	})
}
