package entry

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"cicadagrade.example/platform"
	"cicadagrade.example/tier"
)

// Guards against VMs that stay on an old configuration because they ask again and again for changes
// whose reply can't be used: it is too large, is cut off, or takes longer than a call may.
func TestChangesThatCannotBeReadAreReadAnew(t *testing.T) {
	const versions = 8
	raw, err := os.ReadFile("testdata/configuration.json")
	if err != nil {
		t.Fatal(err)
	}
	padding := strings.Repeat(" ", 700_000)
	for name, spoil := range map[string]func(http.Handler) http.Handler{
		"too large": func(h http.Handler) http.Handler { return h },
		"cut off": func(h http.Handler) http.Handler {
			return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if !strings.HasPrefix(r.URL.Path, "/kv-watch") {
					h.ServeHTTP(w, r)
					return
				}
				reply := httptest.NewRecorder()
				h.ServeHTTP(reply, r)
				_, _ = w.Write(reply.Body.Bytes()[:reply.Body.Len()/2])
			})
		},
		"too slow": func(h http.Handler) http.Handler {
			return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if !strings.HasPrefix(r.URL.Path, "/kv-watch") {
					h.ServeHTTP(w, r)
					return
				}
				_, _ = w.Write([]byte(`{"events": [`))
				_ = http.NewResponseController(w).Flush()
				select {
				case <-r.Context().Done():
				case <-time.After(time.Minute):
				}
			})
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newTestFleet(t, 0)
			server := httptest.NewServer(spoil(f.storeServer))
			t.Cleanup(server.Close)
			f.address = server.Listener.Addr().String()
			vm := f.addVM()
			vm.store = platform.NewStore(server.URL, platform.WithTimeout(300*tier.Millisecond))
			if err := vm.readStore(context.Background(), true); err != nil {
				t.Fatal(err)
			}
			for k := range versions {
				version := bytes.Replace(raw, []byte(`"version": 7`), fmt.Appendf(nil, `"version": %d`, 8+k), 1)
				f.put(platform.ConfigurationKey, append(version, padding...))
			}
			for range 2 {
				if err := vm.readStore(context.Background(), false); err != nil {
					t.Errorf("a read failed: %v", err)
				}
			}
			if got := vm.table.Load().Version(); got != 7+versions {
				t.Errorf("version %d is in force, expected %d", got, 7+versions)
			}
		})
	}
}
