// Package metadata describes what a request carries beside its statement, independent of the protocol.
package metadata

// Request is the metadata that a client sends with a request. Its slices point into the request's buffer.
type Request struct {
	ID           []byte // unique ID of the request
	Class        []byte // name of its class
	Tenant       []byte // name of the client's tenant
	Key          []byte // key by which stores recognize a repeat of the request
	Session      []byte // ID of its session
	Group        uint64 // ID of the group that has its data
	TimeLeft     int64  // tenths of a millisecond until the client stops waiting
	ReadAfter    int64  // log position that the read has to see, in tenths of a millisecond of Unix time
	HasReadAfter bool   // ReadAfter was given
	Retry        bool   // the client has sent the request before
}
