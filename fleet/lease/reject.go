package lease

import (
	pb "go.etcd.io/raft/v3/raftpb"
)

// rejectReason tells what is wrong with another voter's message, "" if nothing is that can be seen from here.
// Danger: the log's core takes what it is told for what another core says; what cannot be ends it, and this
// voter with it.
func (v *Voter) rejectReason(m *pb.Message) string {
	switch m.GetType() {
	case pb.MsgApp, pb.MsgAppResp, pb.MsgVote, pb.MsgVoteResp, pb.MsgPreVote, pb.MsgPreVoteResp, pb.MsgSnap,
		pb.MsgHeartbeat, pb.MsgHeartbeatResp, pb.MsgTimeoutNow: // reads are asked of the leader alone, as questions
	default:
		return "a kind that voters do not send each other"
	}
	if m.GetTo() != v.id || m.GetFrom() == 0 || m.GetFrom() == v.id || m.GetTerm() == 0 {
		return "of nobody, or for another"
	}
	last, err := v.disk.LastIndex()
	if err != nil {
		return err.Error()
	}
	index, term := m.GetIndex(), m.GetLogTerm()
	for _, e := range m.GetEntries() {
		index++
		follows := e.GetIndex() == index && e.GetTerm() >= term && e.GetTerm() <= m.GetTerm()
		if !follows || len(e.Data) > v.maxEntry(e.Data) {
			return "entries that do not follow each other"
		}
		term = e.GetTerm()
	}
	switch m.GetType() {
	case pb.MsgHeartbeat:
		if m.GetCommit() > last {
			return "more is committed than was ever sent here"
		}
	case pb.MsgAppResp, pb.MsgHeartbeatResp:
		if m.GetIndex() > last && !m.GetReject() {
			return "it has more than was ever sent"
		}
	case pb.MsgSnap:
		s := m.GetSnapshot().GetMetadata()
		if s.GetIndex() == 0 || s.GetTerm() > m.GetTerm() || len(s.GetConfState().GetVoters()) == 0 {
			return "a snapshot of nothing"
		}
		book, _, err := v.checkSnapshot(m.GetSnapshot().GetData())
		if err != nil || book.Applied != s.GetIndex() {
			return "a snapshot that is none"
		}
	}
	return ""
}
