// Package terms holds what requests say of themselves in whatever protocol they come.
package terms

// Terms is what a request says of the job that it is, beside its statement. Its slices point into the request.
type Terms struct {
	ID, Profile, Customer, Key, Session []byte // Key: the mark of a numbered job
	Group                               uint64
	Left                                int64 // tenths of a millisecond until the client stops waiting
	After                               int64 // Unix tenths of a millisecond that the read has to see
	Carried, Repeated                   bool  // After was given; a client's further try
}
