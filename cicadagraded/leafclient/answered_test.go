package leafclient

import (
	"os"
	"strings"
	"testing"

	"github.com/pkg/errors"
)

// Guards against a request that runs twice, or is refused and runs: a late copy of the refusal of its
// first sending passes for the reply to the second one.
func TestRequestIsNotSentAgainWhereItWasAnswered(t *testing.T) {
	refusal := newReply("1", "refused")
	s := startServer(t, refusal, refusal+newReply("1", "ran"))
	c := newTestClient(t)
	expectBody(t, c, s, "1", "refused")
	expectBody(t, c, s, "1", "refused") // by a connection of its own, as the first request there
	if n := s.connections.Load(); n != 2 {
		t.Errorf("%d connections, expected 2", n)
	}
	if n := c.Counts().StaleReplies; n != 0 {
		t.Errorf("%d stale replies, expected 0", n)
	}
}

// Guards against the reply to an earlier request that passes for that to the next one, because a byte of
// its head is spoilt, or it names no request.
func TestRepliesWithoutAnID(t *testing.T) {
	without := strings.Replace(newReply("1", "none"), "Id:", "Jd:", 1)
	for name, c := range map[string]struct {
		steps []string
		want  []string // bodies, or "lost"
	}{
		"first reply on a connection": {steps: []string{without}, want: []string{"none"}},
		"server that echoes none":     {steps: []string{without, without}, want: []string{"none", "none"}},
		"after one that has an id":    {steps: []string{newReply("1", "one"), without + newReply("2", "two")}, want: []string{"one", "lost"}},
		"after a late one with an id": {steps: []string{newReply("9", "old") + without}, want: []string{"lost"}},
	} {
		t.Run(name, func(t *testing.T) {
			s := startServer(t, c.steps...)
			client := newTestClient(t)
			for k, want := range c.want {
				got, err := do(t, client, s, []string{"1", "2", "3"}[k])
				var lost *NoReplyError
				if errors.As(err, &lost) {
					got = "lost"
				}
				if got != want {
					t.Errorf("request %d: got %q, %v, expected %q", k+1, got, err, want)
				}
			}
		})
	}
}

// Guards against a reply of a leaf in trouble whose status is none, such as 000, that passes for an answer, or for an
// interim reply, after which whatever comes next on the connection is taken for the answer.
func TestRepliesWithoutAStatus(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "600", "999"} {
		for name, next := range map[string]string{"alone": "", "followed by another": newReply("1", "next")} {
			t.Run(status+" "+name, func(t *testing.T) {
				spoilt := strings.Replace(newReply("1", "spoilt"), "200 OK", status+" OK", 1)
				s := startServer(t, spoilt+next)
				got, err := do(t, newTestClient(t), s, "1")
				var lost *NoReplyError
				if !errors.As(err, &lost) || errors.Is(err, os.ErrDeadlineExceeded) {
					t.Errorf("got %q, %v", got, err)
				}
			})
		}
	}
}
