package entry

import (
	"net/http"
	"sync"

	"cicadagrade.example/tier"
)

// routeShare is the part of the callers' connections, as its inverse, whose requests on one route may be searched for
// at a time. Without a limit the requests of one route whose leafs are slow would take the places of all callers.
const routeShare = 4

// routeLoad counts the requests of each route that are being searched for.
type routeLoad struct {
	limit int

	mu       sync.Mutex
	requests map[string]int
}

func newRouteLoad(connections int) *routeLoad {
	return &routeLoad{limit: max(1, connections/routeShare), requests: map[string]int{}}
}

// enter counts a request of a route, unless there are too many. leave, which may be called again, ends it.
func (l *routeLoad) enter(route string) (leave func(), ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.requests[route] >= l.limit {
		return nil, false
	}
	l.requests[route]++
	return sync.OnceFunc(func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		if l.requests[route]--; l.requests[route] == 0 {
			delete(l.requests, route)
		}
	}), true
}

// enterRoute counts a request whose body has come. If its route has too many, it responds and returns false.
func (e *Entry) enterRoute(w http.ResponseWriter, q *request) bool {
	leave, ok := e.routeLoad.enter(q.route.Name())
	if !ok {
		e.refuseRequest(w, q, http.StatusServiceUnavailable, "route-busy", routeRetryAfter)
		return false
	}
	q.leaveRoute = leave
	return true
}

// routeRetryAfter is the shortest Retry-After of a route with too many requests.
const routeRetryAfter = tier.Second
