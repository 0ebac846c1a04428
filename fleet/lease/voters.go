package lease

import (
	"fmt"
	"slices"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// VoterInfo is a voter that was added after the fleet's first start, with where it is reached.
type VoterInfo struct {
	ID         uint64
	Name, Addr string
}

// applyConfChange takes a committed change of the voters.
func (v *Voter) applyConfChange(e *pb.Entry) {
	v.changing = false
	var c pb.ConfChange
	if e.GetType() != pb.EntryConfChange || proto.Unmarshal(e.Data, &c) != nil {
		return // no voter proposes another kind
	}
	v.conf = v.node.ApplyConfChange(&c)
	if seat, err := readSeat(c.GetNodeId(), c.Context); err == nil {
		v.book.seat(seat, c.GetType() == pb.ConfChangeAddNode)
	}
}

// ChangeVoters adds a voter, or removes one. One change at a time; the next only once this is done.
func (v *Voter) ChangeVoters(now Time, s VoterInfo, add bool) error {
	defer v.recoverCore()
	v.now = now
	if v.aside != nil {
		return v.aside
	}
	if !v.leads || v.readyAt == 0 {
		return fmt.Errorf("voter %d does not lead; voter %d does, as far as it knows", v.id, v.Leader())
	}
	if v.changing {
		return fmt.Errorf("another change is not done yet")
	}
	if len(s.Name) > MaxNameBytes || len(s.Addr) > MaxNameBytes || s.ID == 0 {
		return fmt.Errorf("no number, or a name or address over %d bytes", MaxNameBytes)
	}
	votes := slices.Contains(v.conf.Voters, s.ID)
	kind := pb.ConfChangeAddNode
	if !add {
		kind = pb.ConfChangeRemoveNode
		if len(v.conf.Voters) <= 1 {
			return fmt.Errorf("the last voter cannot be removed")
		}
	}
	if votes == add {
		return fmt.Errorf("voter %d has a vote: %v", s.ID, votes)
	}
	err := v.node.ProposeConfChange(&pb.ConfChange{Type: kind.Enum(), NodeId: &s.ID, Context: s.append(nil)})
	v.changing = err == nil
	v.handleReady()
	return err
}

// TransferLeadership hands the lead to the voter that has most of the log, before a planned stop.
func (v *Voter) TransferLeadership(now Time) {
	defer v.recoverCore()
	if v.now = now; v.aside != nil || !v.leads {
		return
	}
	best, match := uint64(0), uint64(0)
	for _, id := range v.conf.Voters { // in their order
		if p, ok := v.node.Status().Progress[id]; ok && id != v.id && p.RecentActive && p.Match > match {
			best, match = id, p.Match
		}
	}
	if best != 0 {
		v.node.TransferLeader(best)
		v.handleReady()
	}
}

// AddedVoters gives the voters that were added after the first start.
func (v *Voter) AddedVoters() []VoterInfo { return v.book.seats }

// Voters gives who votes.
func (v *Voter) Voters() []uint64 { return v.conf.Voters }
