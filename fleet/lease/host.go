package lease

import (
	pb "go.etcd.io/raft/v3/raftpb"
)

// Batch is what has to be on disk, written through, before anything that follows from it leaves this voter.
type Batch struct {
	Hard     *pb.HardState
	Entries  []*pb.Entry
	Snapshot *pb.Snapshot // made here, or taken over: what comes before it may go
	Keep     uint64       // entries below this one may go; 0: none
}

// Kept is what a voter finds on its disk.
type Kept struct {
	Hard     *pb.HardState
	Snapshot *pb.Snapshot
	Entries  []*pb.Entry
}

// VoterHost is what a voter does.
type VoterHost interface {
	Save(b Batch) error                     // an error: the voter steps aside
	Carry(to uint64, m *pb.Message)         // to another voter; it may be lost
	Pass(to uint64, a Ask)                  // to the leader
	Reply(via uint64, addr string, r Reply) // through another voter if via is not 0
	Log(text string)
}
