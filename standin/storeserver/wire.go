package storeserver

import (
	"strconv"
	"strings"
)

// number is a 64-bit integer that the gateway writes as text; it reads both
// text and numbers.
type number int64

func (n number) MarshalText() ([]byte, error) { return strconv.AppendInt(nil, int64(n), 10), nil }

func (n *number) UnmarshalJSON(b []byte) error {
	v, err := strconv.ParseInt(strings.Trim(string(b), `"`), 10, 64)
	*n = number(v)
	return err
}

type header struct {
	ClusterID number `json:"cluster_id"`
	MemberID  number `json:"member_id"`
	Revision  number `json:"revision"`
	RaftTerm  number `json:"raft_term"`
}

type keyValue struct {
	Key      []byte `json:"key"`
	Created  number `json:"create_revision,omitempty"`
	Modified number `json:"mod_revision"`
	Version  number `json:"version,omitempty"`
	Value    []byte `json:"value,omitempty"`
	Lease    number `json:"lease,omitempty"`
}

func newKeyValue(key string, r *record) keyValue {
	return keyValue{
		Key:      []byte(key),
		Created:  number(r.created),
		Modified: number(r.modified),
		Version:  number(r.version),
		Value:    r.value,
		Lease:    number(r.lease),
	}
}

type rangeRequest struct {
	Key   []byte `json:"key"`
	End   []byte `json:"range_end"`
	Limit number `json:"limit"`
}

type rangeReply struct {
	Header header     `json:"header"`
	Values []keyValue `json:"kvs,omitempty"`
	More   bool       `json:"more,omitempty"`
	Count  number     `json:"count,omitempty"`
}

type putRequest struct {
	Key   []byte `json:"key"`
	Value []byte `json:"value"`
	Lease number `json:"lease"`
}

type headerReply struct {
	Header header `json:"header"`
}

type deleteReply struct {
	Header  header `json:"header"`
	Deleted number `json:"deleted,omitempty"`
}

type compare struct {
	Target   string `json:"target"`
	Result   string `json:"result"`
	Key      []byte `json:"key"`
	Modified number `json:"mod_revision"`
	Created  number `json:"create_revision"`
	Version  number `json:"version"`
}

type operation struct {
	Put    *putRequest   `json:"request_put"`
	Range  *rangeRequest `json:"request_range"`
	Delete *rangeRequest `json:"request_delete_range"`
}

type transaction struct {
	Compare []compare   `json:"compare"`
	Success []operation `json:"success"`
	Failure []operation `json:"failure"`
}

type operationReply struct {
	Put    *headerReply `json:"response_put,omitempty"`
	Range  *rangeReply  `json:"response_range,omitempty"`
	Delete *deleteReply `json:"response_delete_range,omitempty"`
}

type transactionReply struct {
	Header    header           `json:"header"`
	Succeeded bool             `json:"succeeded,omitempty"`
	Responses []operationReply `json:"responses"`
}

type leaseRequest struct {
	ID  number `json:"ID"`
	TTL number `json:"TTL"`
}

type leaseReply struct {
	Header header `json:"header"`
	ID     number `json:"ID"`
	TTL    number `json:"TTL"`
}

type keepAliveReply struct {
	Result leaseReply `json:"result"`
}

type watchRequest struct {
	Create struct {
		Key   []byte `json:"key"`
		End   []byte `json:"range_end"`
		Start number `json:"start_revision"`
	} `json:"create_request"`
}

type watchReply struct {
	Result watchResult `json:"result"`
}

type watchResult struct {
	Header   header  `json:"header"`
	WatchID  number  `json:"watch_id"`
	Created  bool    `json:"created,omitempty"`
	Canceled bool    `json:"canceled,omitempty"`
	Compact  number  `json:"compact_revision,omitempty"`
	Events   []event `json:"events,omitempty"`
}

type event struct {
	Type  string   `json:"type,omitempty"`
	Value keyValue `json:"kv"`
}

// gatewayError is the gateway's shape of an error answer.
type gatewayError struct {
	Error   string `json:"error"`
	Code    int    `json:"code"`
	Message string `json:"message"`
}
