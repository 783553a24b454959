package toucanstore

import "time"

// The published form of the service: Consul's HTTP API, of which these are the parts in use.
const (
	// PathKV is followed by a key or prefix.
	PathKV = "/v1/kv/"
	// PathTxn takes a list of TxnOp and applies all or none.
	PathTxn = "/v1/txn"
	// PathSessionCreate, PathSessionRenew and PathSessionDestroy handle leases; the last two are followed by an id.
	PathSessionCreate  = "/v1/session/create"
	PathSessionRenew   = "/v1/session/renew/"
	PathSessionDestroy = "/v1/session/destroy/"
	// HeaderIndex carries the revision that an answer shows.
	HeaderIndex = "X-Consul-Index"
)

// The verbs of a transaction.
const (
	// VerbCAS writes a key if its index is the given one; zero means that the key must not exist.
	VerbCAS = "cas"
	// VerbLock writes a key and binds it to a session.
	VerbLock = "lock"
)

// KVPair is one key in an answer.
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

// TxnReply answers a transaction.
type TxnReply struct {
	Results []TxnResult
	Errors  []TxnError
}

// TxnError says which operation kept a transaction from being applied.
type TxnError struct {
	OpIndex int
	What    string
}

// Session is a lease as it is asked for and answered.
type Session struct {
	ID       string `json:",omitempty"`
	TTL      string `json:",omitempty"`
	Behavior string `json:",omitempty"`
	// LockDelay keeps the keys of a lapsed session from being taken for a while; leases here need none.
	LockDelay string `json:",omitempty"`
}

// BehaviorDelete makes a session's keys vanish with it.
const BehaviorDelete = "delete"

// MaxWait bounds the waiting part of a watch.
const MaxWait = 30 * time.Second
