// Package terms holds what requests say of themselves in whatever protocol they come.
package metadata

// Request is what a request says of the job that it is, beside its statement. Its slices point into the request.
type Request struct {
	ID, Class, Tenant, Key, Session []byte // Key: the mark of a numbered job
	Group                           uint64
	TimeLeft                        int64 // tenths of a millisecond until the client stops waiting
	ReadAfter                       int64 // Unix tenths of a millisecond that the read has to see
	HasReadAfter, Retry             bool  // After was given; a client's further try
}
