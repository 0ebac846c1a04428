package main

import (
	"encoding/json"
	"fmt"

	"github.com/spf13/cobra"

	"micatrack/internal/voterstate"
)

// stateCommands returns the command `micatrack state`, whose subcommands create or read a voter's state file while no voter
// has it open.
func stateCommands() *cobra.Command {
	var fleet, voter string
	var first, asJSON bool
	var voters []string
	root := &cobra.Command{Use: "state", Short: "Create or inspect the state file of a voter for the fleet's leases"}
	create := &cobra.Command{Use: "create FILE", Short: "Create the state file of a new voter; an existing file is not replaced", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			if fleet == "" || voter == "" {
				return fmt.Errorf("give --fleet and --voter")
			}
			w, err := voterstate.Create(args[0], fleet, voter, first, voters)
			if err != nil {
				return exitError{1, err}
			}
			fmt.Fprintf(c.OutOrStdout(), "%s: voter %s of fleet %s, number %d\n", args[0], w.Voter, w.Fleet, w.ID)
			return nil
		}}
	create.Flags().StringVar(&fleet, "fleet", "", "name of the fleet")
	create.Flags().StringVar(&voter, "voter", "", "name of the front that votes")
	create.Flags().StringSliceVar(&voters, "voters", nil, "names of the fleet's first voters, the same on each")
	create.Flags().BoolVar(&first, "first", false,
		"it is one of the fleet's first voters; never for one that lost its disk, which must be removed and added again")
	show := &cobra.Command{Use: "show FILE", Short: "Show the contents of a state file", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			s, err := voterstate.ReadSummary(args[0])
			if err != nil {
				return exitError{1, err}
			}
			if asJSON {
				return json.NewEncoder(c.OutOrStdout()).Encode(s)
			}
			fmt.Fprintf(c.OutOrStdout(), "voter %s of fleet %s, number %d; term %d, committed up to %d, snapshot of %d, %d entries behind it\n",
				s.Voter, s.Fleet, s.ID, s.Term, s.Committed, s.Snapshot, s.Entries)
			for _, l := range s.Leases {
				fmt.Fprintln(c.OutOrStdout(), l)
			}
			return nil
		}}
	show.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	verify := &cobra.Command{Use: "verify FILE", Short: "Check that a state file is intact; exit with status 1 if it is not", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			if _, err := voterstate.ReadSummary(args[0]); err != nil {
				return exitError{1, err}
			}
			fmt.Fprintf(c.OutOrStdout(), "%s: whole\n", args[0])
			return nil
		}}
	root.AddCommand(create, show, verify)
	return root
}
