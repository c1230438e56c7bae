package store

import (
	"strconv"
	"strings"
)

// int64Text is an int64 as the gateway writes it: a string.
type int64Text int64

// MarshalJSON writes the number as a string.
func (n int64Text) MarshalJSON() ([]byte, error) {
	return []byte(`"` + strconv.FormatInt(int64(n), 10) + `"`), nil
}

// UnmarshalJSON reads a string or a number.
func (n *int64Text) UnmarshalJSON(data []byte) error {
	v, err := strconv.ParseInt(strings.Trim(string(data), `"`), 10, 64)
	*n = int64Text(v)
	return err
}

// The messages of the gateway; []byte is base64 text in JSON.
type (
	rangeRequest struct {
		Key      []byte `json:"key"`
		RangeEnd []byte `json:"range_end,omitempty"`
	}
	header struct {
		Revision int64Text `json:"revision"`
	}
	keyValue struct {
		Key         []byte    `json:"key"`
		Value       []byte    `json:"value"`
		ModRevision int64Text `json:"mod_revision"`
		Lease       int64Text `json:"lease"`
	}
	rangeResponse struct {
		Header header     `json:"header"`
		Kvs    []keyValue `json:"kvs"`
	}
	compare struct {
		Result      string    `json:"result"`
		Target      string    `json:"target"`
		Key         []byte    `json:"key"`
		ModRevision int64Text `json:"mod_revision"`
	}
	putRequest struct {
		Key   []byte    `json:"key"`
		Value []byte    `json:"value"`
		Lease int64Text `json:"lease,omitempty"`
	}
	operation struct {
		Range  *rangeRequest `json:"request_range,omitempty"`
		Put    *putRequest   `json:"request_put,omitempty"`
		Delete *rangeRequest `json:"request_delete_range,omitempty"`
	}
	txnRequest struct {
		Compare []compare   `json:"compare"`
		Success []operation `json:"success"`
		Failure []operation `json:"failure"`
	}
	txnResponse struct {
		Header    header `json:"header"`
		Succeeded bool   `json:"succeeded"`
		Responses []struct {
			Range *rangeResponse `json:"response_range"`
		} `json:"responses"`
	}
	leaseRequest struct {
		ID  int64Text `json:"ID,omitempty"`
		TTL int64Text `json:"TTL,omitempty"`
	}
	leaseResponse struct {
		ID  int64Text `json:"ID"`
		TTL int64Text `json:"TTL"`
	}
	keepAliveResponse struct {
		Result leaseResponse `json:"result"`
	}
	watchCreate struct {
		Key           []byte    `json:"key"`
		RangeEnd      []byte    `json:"range_end"`
		StartRevision int64Text `json:"start_revision"`
	}
	watchRequest struct {
		Create watchCreate `json:"create_request"`
	}
	watchResponse struct {
		Result struct {
			Header          header    `json:"header"`
			Created         bool      `json:"created"`
			Canceled        bool      `json:"canceled"`
			CompactRevision int64Text `json:"compact_revision"`
			Events          []struct {
				Type string   `json:"type"`
				KV   keyValue `json:"kv"`
			} `json:"events"`
		} `json:"result"`
	}
)

func (kv *keyValue) toKeyValue() KeyValue {
	return KeyValue{Key: string(kv.Key), Value: kv.Value, ModRevision: Revision(kv.ModRevision), Lease: LeaseID(kv.Lease)}
}

// prefixEnd returns the first key after all keys with the prefix; one zero
// byte if there is none.
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

// prefixStart returns the key at which a range over the prefix begins.
func prefixStart(prefix string) []byte {
	if prefix == "" {
		return []byte{0}
	}
	return []byte(prefix)
}
