package lease

import (
	"fmt"
	"slices"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// VoterInfo identifies a voter and gives its address.
type VoterInfo struct {
	ID   uint64
	Name string // name of the front that runs the voter
	Addr string // address at which other fronts reach it
}

// applyConfChange applies a committed change of the voters.
func (v *Voter) applyConfChange(e *pb.Entry) {
	v.changePending = false
	var c pb.ConfChange
	if e.GetType() != pb.EntryConfChange || proto.Unmarshal(e.Data, &c) != nil {
		return // voters propose no other kind of change
	}
	v.confState = v.node.ApplyConfChange(&c)
	if voter, err := decodeVoterInfo(c.GetNodeId(), c.Context); err == nil {
		v.grants.updateVoter(voter, c.GetType() == pb.ConfChangeAddNode)
	}
}

// ChangeVoters proposes to add a voter, or to remove one. Only the leader can do so, and one change at a time: it returns
// an error while an earlier change is not applied yet, if the voter is already added or removed, or if the voter to
// be removed is the last one.
func (v *Voter) ChangeVoters(now Time, s VoterInfo, add bool) error {
	defer v.recoverPanic()
	v.now = now
	if v.err != nil {
		return v.err
	}
	if !v.leading || v.readyTerm == 0 {
		return fmt.Errorf("voter %d does not lead; voter %d does, as far as it knows", v.id, v.Leader())
	}
	if v.changePending {
		return fmt.Errorf("another change of the voters is still pending")
	}
	if len(s.Name) > MaxNameBytes || len(s.Addr) > MaxNameBytes || s.ID == 0 {
		return fmt.Errorf("the voter has no ID, or its name or address is longer than %d bytes", MaxNameBytes)
	}
	isVoter := slices.Contains(v.confState.Voters, s.ID)
	kind := pb.ConfChangeAddNode
	if !add {
		kind = pb.ConfChangeRemoveNode
		if len(v.confState.Voters) <= 1 {
			return fmt.Errorf("the last voter cannot be removed")
		}
	}
	if isVoter == add {
		return fmt.Errorf("voter %d has a vote: %v", s.ID, isVoter)
	}
	err := v.node.ProposeConfChange(&pb.ConfChange{Type: kind.Enum(), NodeId: &s.ID, Context: s.append(nil)})
	v.changePending = err == nil
	v.handleReady()
	return err
}

// TransferLeadership transfers the leadership to the active voter whose log is most complete. It is called before a
// planned shutdown, and does nothing if this voter does not lead.
func (v *Voter) TransferLeadership(now Time) {
	defer v.recoverPanic()
	if v.now = now; v.err != nil || !v.leading {
		return
	}
	best, match := uint64(0), uint64(0)
	for _, id := range v.confState.Voters { // in the order of the configuration, not of a map
		if p, ok := v.node.Status().Progress[id]; ok && id != v.id && p.RecentActive && p.Match > match {
			best, match = id, p.Match
		}
	}
	if best != 0 {
		v.node.TransferLeader(best)
		v.handleReady()
	}
}

// AddedVoters returns the voters that were added since the fleet's first start.
func (v *Voter) AddedVoters() []VoterInfo { return v.grants.addedVoters }

// Voters returns the IDs of all current voters.
func (v *Voter) Voters() []uint64 { return v.confState.Voters }
