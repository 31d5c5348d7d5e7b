package authenticator

import (
	"fmt"
	"strings"
	"testing"

	"cicadagrade.example/tier/router"
)

// BenchmarkIdentify looks up keys among those of 84 organisations with two keys each.
func BenchmarkIdentify(b *testing.B) {
	var organisations []*router.Organisation
	for i := range 84 {
		organisations = append(organisations, router.NewOrganisation(fmt.Sprint("o", i), []string{key(i, 1), key(i, 2)}))
	}
	a := New([]byte("secret"), organisations)
	for name, k := range map[string]string{
		"known": key(7, 1), "last letter wrong": key(7, 1)[:39] + "x", "first letter wrong": "x" + key(7, 1)[1:], "512 letters": strings.Repeat("x", 512),
	} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				a.Identify(k)
			}
		})
	}
}

// key returns a key of 40 letters.
func key(organisation, n int) string { return fmt.Sprintf("%020d%020d", organisation, n) }
