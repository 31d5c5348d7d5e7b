package etcdgateway

import "cicadagrade.example/tier/storer"

// The gateway writes byte strings in base64 and 64-bit integers as text.

type rangeRequest struct {
	Key   []byte `json:"key"`
	End   []byte `json:"range_end,omitempty"`
	Limit int64  `json:"limit,string,omitempty"`
}

type rangeReply struct {
	Values []keyValue `json:"kvs"`
}

type keyValue struct {
	Key      []byte `json:"key"`
	Value    []byte `json:"value"`
	Revision int64  `json:"mod_revision,string"`
}

func (k keyValue) value() storer.Value {
	return storer.NewValue(string(k.Key), k.Value, k.Revision)
}

type putRequest struct {
	Key   []byte `json:"key"`
	Value []byte `json:"value"`
	Lease int64  `json:"lease,string,omitempty"`
}

type compare struct {
	Target   string `json:"target"`
	Result   string `json:"result"`
	Key      []byte `json:"key"`
	Revision int64  `json:"mod_revision,string"`
}

type operation struct {
	Put    *putRequest   `json:"request_put,omitempty"`
	Range  *rangeRequest `json:"request_range,omitempty"`
	Delete *rangeRequest `json:"request_delete_range,omitempty"`
}

type transaction struct {
	Compare []compare   `json:"compare"`
	Success []operation `json:"success"`
	Failure []operation `json:"failure"`
}

type header struct {
	Revision int64 `json:"revision,string"`
}

type transactionReply struct {
	Header    header `json:"header"`
	Succeeded bool   `json:"succeeded"`
	Responses []struct {
		Range *rangeReply `json:"response_range"`
	} `json:"responses"`
}

type grantRequest struct {
	TTL int64 `json:"TTL,string"`
}

type leaseRequest struct {
	ID int64 `json:"ID,string"`
}

type leaseReply struct {
	ID  int64 `json:"ID,string"`
	TTL int64 `json:"TTL,string"`
}

type keepAliveReply struct {
	Result leaseReply `json:"result"`
}

type watchRequest struct {
	Create watchCreate `json:"create_request"`
}

type watchCreate struct {
	Key   []byte `json:"key"`
	End   []byte `json:"range_end,omitempty"`
	Start int64  `json:"start_revision,string"`
}

type watchReply struct {
	Result watchResult `json:"result"`
	Error  *struct {
		Message string `json:"message"`
	} `json:"error"`
}

type watchResult struct {
	Canceled        bool    `json:"canceled"`
	CompactRevision int64   `json:"compact_revision,string"`
	Events          []event `json:"events"`
}

// event is a change of one key; the gateway leaves out the type PUT.
type event struct {
	Type  string   `json:"type"`
	Value keyValue `json:"kv"`
}

const deleteEvent = "DELETE"

// prefixEnd is the first key after all that start with prefix.
func prefixEnd(prefix string) []byte {
	end := []byte(prefix)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i] < 0xff {
			end[i]++
			return end[:i+1]
		}
	}
	return []byte{0}
}
