package lease

import (
	pb "go.etcd.io/raft/v3/raftpb"
)

// rejectReason returns why a message cannot come from another voter, or "" if no reason is visible from here. The
// raft library trusts its input: it panics on a message that a correct peer cannot send, which would end this voter.
func (v *Voter) rejectReason(m *pb.Message) string {
	switch m.GetType() {
	case pb.MsgApp, pb.MsgAppResp, pb.MsgVote, pb.MsgVoteResp, pb.MsgPreVote, pb.MsgPreVoteResp, pb.MsgSnap,
		pb.MsgHeartbeat, pb.MsgHeartbeatResp, pb.MsgTimeoutNow: // reads reach the leader as a Request, not as MsgReadIndex
	default:
		return "message type that voters do not exchange"
	}
	if m.GetTo() != v.id || m.GetFrom() == 0 || m.GetFrom() == v.id || m.GetTerm() == 0 {
		return "invalid sender, recipient or term"
	}
	last, err := v.storage.LastIndex()
	if err != nil {
		return err.Error()
	}
	index, term := m.GetIndex(), m.GetLogTerm()
	for _, e := range m.GetEntries() {
		index++
		follows := e.GetIndex() == index && e.GetTerm() >= term && e.GetTerm() <= m.GetTerm()
		if !follows || len(e.Data) > v.maxEntry(e.Data) {
			return "entries are too large, or their indexes or terms are out of order"
		}
		term = e.GetTerm()
	}
	switch m.GetType() {
	case pb.MsgHeartbeat:
		if m.GetCommit() > last {
			return "commit index exceeds the last index of this log"
		}
	case pb.MsgAppResp, pb.MsgHeartbeatResp:
		if m.GetIndex() > last && !m.GetReject() {
			return "acknowledged index exceeds the last index of this log"
		}
	case pb.MsgSnap:
		s := m.GetSnapshot().GetMetadata()
		if s.GetIndex() == 0 || s.GetTerm() > m.GetTerm() || len(s.GetConfState().GetVoters()) == 0 {
			return "snapshot metadata is empty or inconsistent"
		}
		grants, _, err := v.checkSnapshot(m.GetSnapshot().GetData())
		if err != nil || grants.Applied != s.GetIndex() {
			return "snapshot data is malformed"
		}
	}
	return ""
}
