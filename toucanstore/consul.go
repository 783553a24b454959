package toucanstore

import "time"

// Paths and headers of the service's API. It is Consul's HTTP API, of which this file has the parts in use.
const (
	// PathKV is followed by a key or prefix.
	PathKV = "/v1/kv/"
	// PathTxn accepts a list of TxnOp and applies all of them or none.
	PathTxn = "/v1/txn"
	// PathSessionCreate, PathSessionRenew and PathSessionDestroy manage leases; the last two are followed by the
	// lease's id.
	PathSessionCreate  = "/v1/session/create"
	PathSessionRenew   = "/v1/session/renew/"
	PathSessionDestroy = "/v1/session/destroy/"
	// HeaderIndex carries the revision that an answer reflects.
	HeaderIndex = "X-Consul-Index"
)

// Verbs of an operation in a transaction.
const (
	// VerbCAS writes a key if its ModifyIndex equals the given index; zero means that the key must not exist.
	VerbCAS = "cas"
	// VerbLock writes a key and binds it to a session.
	VerbLock = "lock"
)

// KVPair is one key with its value in an answer.
type KVPair struct {
	Key         string
	Value       []byte
	ModifyIndex uint64
	Session     string `json:",omitempty"`
}

// TxnKV is one operation on a key.
type TxnKV struct {
	Verb    string
	Key     string
	Value   []byte `json:",omitempty"`
	Index   uint64 `json:",omitempty"`
	Session string `json:",omitempty"`
}

// TxnOp is one operation of a transaction.
type TxnOp struct {
	KV TxnKV
}

// TxnResult is the state of a key after an operation, without its value.
type TxnResult struct {
	KV KVPair
}

// TxnReply is the answer to a transaction.
type TxnReply struct {
	Results []TxnResult
	Errors  []TxnError
}

// TxnError is the reason why a transaction was not applied: the index of the failed operation and a message.
type TxnError struct {
	OpIndex int
	What    string
}

// Session is a lease in a request to create it and in the answer.
type Session struct {
	ID       string `json:",omitempty"`
	TTL      string `json:",omitempty"`
	Behavior string `json:",omitempty"`
	// LockDelay is the time for which the keys of an expired session can't be locked again; leases here need none.
	LockDelay string `json:",omitempty"`
}

// BehaviorDelete makes the service delete a session's keys when the session ends.
const BehaviorDelete = "delete"

// MaxWait is the longest time that a watch may wait for a change.
const MaxWait = 30 * time.Second
