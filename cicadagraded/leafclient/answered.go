package leafclient

import (
	"net/http"
	"slices"

	"github.com/pkg/errors"
)

// maxAnsweredIDs bounds the ids that are kept for a connection. A server that sends a reply twice does
// so in place of one of the next replies.
const maxAnsweredIDs = 64

// errNoID is the error of a reply without an id on a connection whose replies have had one.
var errNoID = errors.New("the reply names no request, unlike others on its connection")

// answeredIDs are the ids of the requests that were answered on a connection. A server in trouble may
// send a second copy of a reply, late, which can't be told from the reply to the same request if that is
// sent again on this connection.
type answeredIDs struct {
	ids    []string // the latest ones
	echoes bool     // a reply has echoed an id
}

// add reports whether a reply is that to a call, and records it. One without an id may be to any request,
// unless the server echoes none.
func (a *answeredIDs) add(call Call, header http.Header) (bool, error) {
	if call.EchoedID == nil {
		return true, nil
	}
	echoed := call.EchoedID(header)
	switch {
	case echoed == "" && a.echoes && call.ID != "":
		return false, errNoID
	case echoed != "" && echoed != call.ID:
		a.echoes = true
		return false, nil
	}
	a.echoes = a.echoes || echoed != ""
	if len(a.ids) >= maxAnsweredIDs {
		a.ids = slices.Delete(a.ids, 0, 1)
	}
	a.ids = append(a.ids, call.ID)
	return true, nil
}

// has reports whether a request was answered.
func (a *answeredIDs) has(id string) bool { return id != "" && slices.Contains(a.ids, id) }
