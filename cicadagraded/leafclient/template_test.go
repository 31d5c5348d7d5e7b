package leafclient

import (
	"bytes"
	"net/http"
	"testing"
)

// Calls of one request must not each hold a copy of a large body, and must send it all the same.
func TestCallsShareLargeBodies(t *testing.T) {
	for _, bytesOfBody := range []int{0, copiedBodyBytes, copiedBodyBytes + 1} {
		body := bytes.Repeat([]byte{'x'}, bytesOfBody)
		template := NewTemplate(http.MethodPost, "/x", "h", http.Header{}, body)
		first, second := template.Call([2]string{"Id", "1"}), template.Call([2]string{"Id", "2"})
		for _, c := range []Call{first, second} {
			if sent := append(bytes.Clone(c.Request), c.Rest...); !bytes.HasSuffix(sent, append([]byte("\r\n\r\n"), body...)) {
				t.Errorf("%d bytes: the call does not end with its body", bytesOfBody)
			}
		}
		if shared := len(first.Rest) > 0 && &first.Rest[0] == &second.Rest[0]; shared != (bytesOfBody > copiedBodyBytes) {
			t.Errorf("%d bytes: shared %v", bytesOfBody, shared)
		}
	}
}
