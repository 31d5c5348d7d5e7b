package main

import (
	"bytes"
	"encoding/json"
	"maps"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// checkOutput returns all that check prints, and its error.
func checkOutput(args ...string) string {
	var out bytes.Buffer
	c := newCheckCommand()
	c.SetArgs(args)
	c.SetOut(&out)
	c.SetErr(&out)
	c.SilenceUsage, c.SilenceErrors = true, true
	if err := c.Execute(); err != nil {
		out.WriteString(err.Error())
	}
	return out.String()
}

// keyDocument draws a document that has keys in places where they belong and where they don't.
type keyDocument struct {
	t    *rapid.T
	keys []string
}

func (d *keyDocument) key() string {
	if len(d.keys) > 0 && rapid.Bool().Draw(d.t, "again") {
		return rapid.SampledFrom(d.keys).Draw(d.t, "old key")
	}
	key := rapid.StringMatching(`[A-Za-z0-9+/"<é]{4}-[A-Za-z0-9]{6,12}|[1-9][0-9]{8}`).Draw(d.t, "key")
	d.keys = append(d.keys, key)
	return key
}

// number draws a number, which may be a key.
func (d *keyDocument) number() json.Number {
	if key := d.key(); strings.Trim(key, "0123456789") == "" {
		return json.Number(key)
	}
	return "5"
}

// value draws a value. Most names and texts in it are fields of the format or keys.
func (d *keyDocument) value(depth int) any {
	names := []string{
		"version", "routes", "tenants", "services", "name", "host", "pathPrefix", "apiKeys", "apikey", "apiKeyDigests", "allowedRegions",
		"shards", "trafficSplit", "service", "weight", "limits", "ratePerS", "kind", "timeoutMs", "profiles", "rank", "healthCheckPath",
	}
	switch n := rapid.IntRange(0, 9).Draw(d.t, "form"); {
	case n < 4 && depth > 0:
		fields := map[string]any{}
		for range rapid.IntRange(0, 4).Draw(d.t, "fields") {
			name := rapid.SampledFrom(names).Draw(d.t, "name")
			if rapid.IntRange(0, 5).Draw(d.t, "key as name") == 0 {
				name = d.key()
			}
			fields[name] = d.value(depth - 1)
		}
		return fields
	case n < 6 && depth > 0:
		var list []any
		for range rapid.IntRange(0, 3).Draw(d.t, "items") {
			list = append(list, d.value(depth-1))
		}
		return list
	case n < 8:
		return rapid.SampledFrom([]string{"", "x", "/a/"}).Draw(d.t, "before") + d.key()
	default:
		return rapid.SampledFrom([]any{nil, true, 0, 7, -1.5, d.number()}).Draw(d.t, "other")
	}
}

// text draws a name, which may contain a key. In a document that VMs would decode it is a text.
func (d *keyDocument) text(valid bool) any {
	switch n := rapid.IntRange(0, 3).Draw(d.t, "text"); {
	case n == 0:
		return rapid.SampledFrom([]string{"a", "b", "/a/"}).Draw(d.t, "plain")
	case n == 1 && !valid:
		return d.value(1)
	default:
		return rapid.SampledFrom([]string{"", "x", "/a/"}).Draw(d.t, "before") + d.key()
	}
}

// document draws a whole document. All of its keys belong to an organisation, in a valid or an
// invalid form.
func (d *keyDocument) document() []byte {
	valid := rapid.IntRange(0, 2).Draw(d.t, "valid") > 0
	name := func() any { return d.text(valid) }
	route := func() any {
		return map[string]any{
			"name": name(), "host": name(), "pathPrefix": name(), "shards": []any{name(), name()}, "allowedRegions": []any{name()}, d.key(): 1,
			"timeoutMs": d.number(), "targetLatencyMs": d.number(), "maxAttempts": d.number(), "trafficSplit": []any{map[string]any{"service": name(), "weight": d.number()}},
		}
	}
	whole := map[string]any{"version": d.number(), "routes": []any{route(), route()}, "services": []any{map[string]any{"name": name(), "coldPerS": d.number()}}}
	if more, ok := d.value(3).(map[string]any); ok && !valid {
		delete(more, "tenants")
		maps.Copy(whole, more)
	}
	organisation := func(field string) any {
		o := map[string]any{"name": name(), "ratePerS": d.number(), "burst": d.number(), "allowedRegions": []any{name()}}
		o[field] = d.keys
		return o
	}
	fields := []string{"apiKeys", "APIKEYS", "apiKey"}
	tenants := []any{organisation(rapid.SampledFrom(fields).Draw(d.t, "keys' field")), organisation("apiKeys")}
	if !valid {
		tenants = append(tenants, map[string]any{"apiKeys": map[string]any{"list": d.keys}})
	}
	whole["tenants"] = tenants
	raw, err := json.Marshal(whole)
	if err != nil {
		d.t.Fatal(err)
	}
	if valid {
		return raw
	}
	return raw[:len(raw)-rapid.SampledFrom([]int{0, 0, 0, 1, 20}).Draw(d.t, "cut")]
}

// TestCheckHidesKeys guards against a key that appears in the output because it is also a name, a
// field, a value of the wrong type or the value of an unknown field.
func TestCheckHidesKeys(t *testing.T) {
	dir := t.TempDir()
	file, other := filepath.Join(dir, "a.json"), filepath.Join(dir, "b.json")
	rapid.Check(t, func(rt *rapid.T) {
		d := &keyDocument{t: rt}
		for _, name := range []string{file, other} {
			if err := os.WriteFile(name, d.document(), 0o600); err != nil {
				rt.Fatal(err)
			}
		}
		for _, args := range [][]string{{file}, {file, "--json"}, {file, "--against", other}, {other, "--against", file, "--json"}, {other, "--settings", file}} {
			out := strings.ToLower(checkOutput(args...))
			for _, key := range d.keys {
				quoted, _ := json.Marshal(key)
				for _, form := range []string{key, strings.Trim(string(quoted), `"`)} {
					if strings.Contains(out, strings.ToLower(form)) {
						raw, _ := os.ReadFile(args[0])
						rt.Fatalf("key %q is in the output of %v: %s\n%s", key, args, out, raw)
					}
				}
			}
		}
	})
}

// TestCheckBoundsFiles guards against reading a file of any size into memory.
func TestCheckBoundsFiles(t *testing.T) {
	file := filepath.Join(t.TempDir(), "large.json")
	if err := os.WriteFile(file, append([]byte(`{"version": 7}`), bytes.Repeat([]byte(" "), maxCheckedBytes)...), 0o600); err != nil {
		t.Fatal(err)
	}
	if out := checkOutput(file); !strings.Contains(out, "has more than 4194304 bytes") {
		t.Error(out)
	}
}

// kindPattern matches the kind of a finding where the code makes it.
var kindPattern = regexp.MustCompile(`(?:Error|Warning|Difference|r\.add\(|c\.change\([^"]*)[, (]*"([a-z]+(?:-[a-z]+)*)"`)

// TestEveryFindingHasAScript guards against a finding whose output no script shows, as text and
// as JSON.
func TestEveryFindingHasAScript(t *testing.T) {
	var golden strings.Builder
	files, _ := filepath.Glob("testdata/golden/check-*.golden")
	for _, name := range files {
		raw, _ := os.ReadFile(name)
		golden.Write(raw)
	}
	kinds := map[string]bool{}
	for _, pattern := range []string{"../tier/checker/*.go", "../platform/draft*.go", "check*.go"} {
		sources, _ := filepath.Glob(pattern)
		for _, name := range sources {
			raw, _ := os.ReadFile(name)
			for _, m := range kindPattern.FindAllSubmatch(raw, -1) {
				kinds[string(m[1])] = true
			}
		}
	}
	// Made only if the decoders disagree, which no known file causes.
	delete(kinds, "rejected")
	if len(kinds) < 40 {
		t.Errorf("only %d kinds were found in the code", len(kinds))
	}
	for _, kind := range slices.Sorted(maps.Keys(kinds)) {
		if !strings.Contains(golden.String(), `"kind": "`+kind+`"`) {
			t.Errorf("no script shows the finding %s", kind)
		}
	}
}
