package lease

import (
	pb "go.etcd.io/raft/v3/raftpb"
)

// Batch is a set of changes that must be persisted, with fsync, before any message that depends on them leaves this
// voter.
type Batch struct {
	HardState *pb.HardState
	Entries   []*pb.Entry
	Snapshot  *pb.Snapshot // made by this voter or installed from the leader; the entries that it covers may be deleted
	KeepFrom  uint64       // entries below this index may be deleted; 0 if none
}

// PersistedState is the state that a voter finds on disk when it starts.
type PersistedState struct {
	HardState *pb.HardState
	Snapshot  *pb.Snapshot
	Entries   []*pb.Entry
}

// VoterHost is implemented by the caller of a Voter. It does the I/O.
type VoterHost interface {
	Save(b Batch) error                     // persists a batch; on an error the voter steps aside
	Send(to uint64, m *pb.Message)          // sends to another voter; the message may be lost
	Forward(to uint64, req Request)         // forwards a request to the leader
	Reply(via uint64, addr string, r Reply) // replies to addr, through another voter if via is not 0
	Log(text string)                        // writes a line to the log
}
