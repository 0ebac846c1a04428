package lease

import (
	pb "go.etcd.io/raft/v3/raftpb"
)

// Batch is what has to be on disk, written through, before anything that follows from it leaves this voter.
type Batch struct {
	HardState *pb.HardState
	Entries   []*pb.Entry
	Snapshot  *pb.Snapshot // made here, or taken over: what comes before it may go
	KeepFrom  uint64       // entries below this one may go; 0: none
}

// PersistedState is what a voter finds on its disk.
type PersistedState struct {
	HardState *pb.HardState
	Snapshot  *pb.Snapshot
	Entries   []*pb.Entry
}

// VoterHost is what a voter does.
type VoterHost interface {
	Save(b Batch) error                     // an error: the voter steps aside
	Send(to uint64, m *pb.Message)          // to another voter; it may be lost
	Forward(to uint64, a Request)           // to the leader
	Reply(via uint64, addr string, r Reply) // through another voter if via is not 0
	Log(text string)
}
