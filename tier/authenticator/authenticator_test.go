package authenticator

import (
	"crypto/sha256"
	"testing"

	"cicadagrade.example/tier/router"
)

// TestIdentify guards against a key of two organisations that changes its owner with the order
// of a map, and against a digest that is accepted in place of the key.
func TestIdentify(t *testing.T) {
	digest := sha256.Sum256([]byte("k3"))
	one := router.NewOrganisation("one", []string{"k1", "shared", "k1"}, router.WithQuota(10, 5))
	two := router.NewOrganisation("two", []string{"shared"}, router.WithKeyDigests(digest[:]))
	three := router.NewOrganisation("three", []string{"k4"}, router.WithQuota(30, 5))
	a := New([]byte("secret"), []*router.Organisation{one, two, three})
	for key, want := range map[string]*router.Organisation{
		"k1": one, "shared": one, "k3": two, "k4": three, "k": nil, "k11": nil, "": nil, string(digest[:]): nil,
	} {
		if got, ok := a.Identify(key); got != want || ok != (want != nil) {
			t.Errorf("%q: got %v", key, got)
		}
	}
	if d := a.Duplicates(); len(d) != 1 || d[0].First() != one || d[0].Second() != two {
		t.Errorf("duplicates %v", d)
	}
	if a.Weight(one) != 10 || a.Weight(two) != 20 || a.Weight(nil) != 20 || !a.Required() || a.KeyCount() != 4 {
		t.Errorf("weights %v, %v, %v, %d keys", a.Weight(one), a.Weight(two), a.Weight(nil), a.KeyCount())
	}
	if none := New(nil, nil); none.Required() || none.Weight(nil) != 1 {
		t.Error("a configuration without organisations asks for keys")
	}
}
