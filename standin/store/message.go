package store

import (
	"bytes"
	"encoding/json"
	"strconv"
)

// int64Text is an int64 as the gateway writes it: a string. It reads numbers too.
type int64Text int64

func (n int64Text) MarshalJSON() ([]byte, error) {
	return []byte(`"` + strconv.FormatInt(int64(n), 10) + `"`), nil
}

func (n *int64Text) UnmarshalJSON(data []byte) error {
	v, err := strconv.ParseInt(string(bytes.Trim(data, `"`)), 10, 64)
	*n = int64Text(v)
	return err
}

// The messages of the gateway. A []byte is base64 text in JSON, as the gateway
// has it; fields of zero value are left out, as the gateway does.
type (
	header struct {
		ClusterID int64Text `json:"cluster_id,omitempty"`
		Revision  int64Text `json:"revision,omitempty"`
	}
	keyValueMessage struct {
		Key            []byte    `json:"key,omitempty"`
		CreateRevision int64Text `json:"create_revision,omitempty"`
		ModRevision    int64Text `json:"mod_revision,omitempty"`
		Version        int64Text `json:"version,omitempty"`
		Value          []byte    `json:"value,omitempty"`
		Lease          int64Text `json:"lease,omitempty"`
	}
	rangeRequest struct {
		Key       []byte    `json:"key"`
		RangeEnd  []byte    `json:"range_end"`
		Limit     int64Text `json:"limit"`
		Revision  int64Text `json:"revision"`
		KeysOnly  bool      `json:"keys_only"`
		CountOnly bool      `json:"count_only"`
	}
	rangeResponse struct {
		Header header            `json:"header"`
		Kvs    []keyValueMessage `json:"kvs,omitempty"`
		More   bool              `json:"more,omitempty"`
		Count  int64Text         `json:"count,omitempty"`
	}
	putRequest struct {
		Key   []byte    `json:"key"`
		Value []byte    `json:"value"`
		Lease int64Text `json:"lease"`
	}
	putResponse struct {
		Header header `json:"header"`
	}
	deleteRequest struct {
		Key      []byte `json:"key"`
		RangeEnd []byte `json:"range_end"`
	}
	deleteResponse struct {
		Header  header    `json:"header"`
		Deleted int64Text `json:"deleted,omitempty"`
	}
	compareMessage struct {
		Result         Relation  `json:"result"`
		Target         Target    `json:"target"`
		Key            []byte    `json:"key"`
		Version        int64Text `json:"version"`
		CreateRevision int64Text `json:"create_revision"`
		ModRevision    int64Text `json:"mod_revision"`
		Value          []byte    `json:"value"`
		Lease          int64Text `json:"lease"`
	}
	opMessage struct {
		Range  *rangeRequest  `json:"request_range"`
		Put    *putRequest    `json:"request_put"`
		Delete *deleteRequest `json:"request_delete_range"`
	}
	txnRequest struct {
		Compare []compareMessage `json:"compare"`
		Success []opMessage      `json:"success"`
		Failure []opMessage      `json:"failure"`
	}
	opResponse struct {
		Range  *rangeResponse  `json:"response_range,omitempty"`
		Put    *putResponse    `json:"response_put,omitempty"`
		Delete *deleteResponse `json:"response_delete_range,omitempty"`
	}
	txnResponse struct {
		Header    header       `json:"header"`
		Succeeded bool         `json:"succeeded,omitempty"`
		Responses []opResponse `json:"responses,omitempty"`
	}
	leaseRequest struct {
		ID  int64Text `json:"ID"`
		TTL int64Text `json:"TTL"`
	}
	leaseResponse struct {
		Header header    `json:"header"`
		ID     int64Text `json:"ID,omitempty"`
		TTL    int64Text `json:"TTL,omitempty"`
	}
	watchRequest struct {
		Create *struct {
			Key           []byte    `json:"key"`
			RangeEnd      []byte    `json:"range_end"`
			StartRevision int64Text `json:"start_revision"`
		} `json:"create_request"`
	}
	eventMessage struct {
		Type string          `json:"type,omitempty"`
		KV   keyValueMessage `json:"kv"`
	}
	watchResponse struct {
		Header          header         `json:"header"`
		Created         bool           `json:"created,omitempty"`
		Canceled        bool           `json:"canceled,omitempty"`
		CompactRevision int64Text      `json:"compact_revision,omitempty"`
		CancelReason    string         `json:"cancel_reason,omitempty"`
		Events          []eventMessage `json:"events,omitempty"`
	}
	errorMessage struct {
		Error   string `json:"error"`
		Code    int    `json:"code"`
		Message string `json:"message"`
	}
)

// streamMessage wraps each message of a streaming call.
type streamMessage[T any] struct {
	Result T `json:"result"`
}

func (m *rangeRequest) toRange() Range {
	return Range{KeyRange: keyRange(m.Key, m.RangeEnd), Limit: int64(m.Limit),
		Revision: int64(m.Revision), KeysOnly: m.KeysOnly, CountOnly: m.CountOnly}
}

func (m *putRequest) toPut() Put {
	return Put{Key: string(m.Key), Value: m.Value, Lease: int64(m.Lease)}
}

func keyRange(key, end []byte) KeyRange { return KeyRange{Key: string(key), End: string(end)} }

func (m *txnRequest) toTxn() Txn {
	t := Txn{Success: toOps(m.Success), Failure: toOps(m.Failure)}
	for _, c := range m.Compare {
		t.Compare = append(t.Compare, c.toCompare())
	}
	return t
}

func toOps(messages []opMessage) []Op {
	ops := make([]Op, 0, len(messages))
	for _, m := range messages {
		var op Op
		switch {
		case m.Range != nil:
			r := m.Range.toRange()
			op.Range = &r
		case m.Put != nil:
			p := m.Put.toPut()
			op.Put = &p
		case m.Delete != nil:
			d := keyRange(m.Delete.Key, m.Delete.RangeEnd)
			op.Delete = &d
		}
		ops = append(ops, op)
	}
	return ops
}

func (m *compareMessage) toCompare() Compare {
	c := Compare{Key: string(m.Key), Target: m.Target, Relation: m.Result, Value: m.Value}
	switch m.Target {
	case TargetCreate:
		c.Number = int64(m.CreateRevision)
	case TargetMod:
		c.Number = int64(m.ModRevision)
	case TargetLease:
		c.Number = int64(m.Lease)
	default:
		c.Number = int64(m.Version)
	}
	return c
}

func newKeyValueMessage(kv KeyValue) keyValueMessage {
	return keyValueMessage{Key: []byte(kv.Key), CreateRevision: int64Text(kv.CreateRevision),
		ModRevision: int64Text(kv.ModRevision), Version: int64Text(kv.Version), Value: kv.Value, Lease: int64Text(kv.Lease)}
}

func newRangeResponse(r RangeResult, revision int64) *rangeResponse {
	m := &rangeResponse{Header: newHeader(revision), More: r.More, Count: int64Text(r.Count)}
	for _, kv := range r.Keys {
		m.Kvs = append(m.Kvs, newKeyValueMessage(kv))
	}
	return m
}

func newTxnResponse(t Txn, r TxnResult) *txnResponse {
	ops := t.Failure
	if r.Succeeded {
		ops = t.Success
	}
	m := &txnResponse{Header: newHeader(r.Revision), Succeeded: r.Succeeded}
	for i, op := range ops {
		var o opResponse
		switch {
		case op.Range != nil:
			o.Range = newRangeResponse(r.Results[i].Range, r.Revision)
		case op.Put != nil:
			o.Put = &putResponse{Header: newHeader(r.Revision)}
		case op.Delete != nil:
			o.Delete = &deleteResponse{Header: newHeader(r.Revision), Deleted: int64Text(r.Results[i].Deleted)}
		}
		m.Responses = append(m.Responses, o)
	}
	return m
}

func newWatchResponse(events []Event, revision int64) *watchResponse {
	m := &watchResponse{Header: newHeader(revision)}
	for _, ev := range events {
		e := eventMessage{KV: newKeyValueMessage(ev.KeyValue)}
		if ev.Deleted {
			e.Type = "DELETE"
		}
		m.Events = append(m.Events, e)
	}
	return m
}

func newHeader(revision int64) header {
	return header{ClusterID: clusterID, Revision: int64Text(revision)}
}

// clusterID is what the header of each answer names.
const clusterID = 14_841_639_068_965_178

var _ json.Marshaler = int64Text(0)
