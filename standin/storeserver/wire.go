package storeserver

// item is one key and its value. In the reply to a watch it may also be a deletion.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created,omitempty"`
	Lease    int64  `json:"lease"`
	Removed  bool   `json:"removed,omitempty"`
}

func newItem(key string, r *record) item {
	return item{Key: key, Value: r.value, Revision: r.modified, Created: r.created, Lease: r.lease}
}

type itemReply struct {
	item
	AtRevision int64 `json:"atRevision"`
}

type rangeReply struct {
	Items      []item `json:"items"`
	HasMore    bool   `json:"hasMore"`
	AtRevision int64  `json:"atRevision"`
}

type watchReply struct {
	Events     []item `json:"events"`
	AtRevision int64  `json:"atRevision"`
}

type condition struct {
	Key      string `json:"key"`
	Revision int64  `json:"revision"`
}

type putRequest struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
	Lease int64  `json:"lease"`
}

type transaction struct {
	Expected []condition  `json:"expected"`
	Puts     []putRequest `json:"puts"`
	Deletes  []string     `json:"deletes"`
}

type transactionReply struct {
	Revision int64 `json:"revision"`
}

type conflictReply struct {
	Items []item `json:"items"`
}

type leaseBody struct {
	Lease int64 `json:"lease,omitempty"`
	TTL   int64 `json:"ttlMs"`
}

type errorReply struct {
	Error string `json:"error"`
}
