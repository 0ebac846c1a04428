package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"os/user"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"micatrack/fleet/config"
	"micatrack/internal/configuration"
	"micatrack/internal/operators"
)

// Exit statuses of the commands, besides 0 and 2 (invalid arguments, or an invalid change).
const (
	statusNotDone = 1 // nothing has changed
	statusUnknown = 3 // the change may have been made
)

const (
	commandTimeout = 7 * time.Second        // wait for the front's answer; the front itself retries for some seconds
	statusInterval = 200 * time.Millisecond // between two status requests while a command waits
)

// configClient sends requests about the fleet's configuration to this machine's front.
type configClient struct {
	operatorsPath string // operators' file, whose fleet.control is the address if control is empty
	control       string // control address of the front
	asJSON        bool   // print JSON
}

// address returns the control address of this machine's front.
func (c *configClient) address() (string, error) {
	if c.control != "" {
		return c.control, nil
	}
	o, err := operators.Read(c.operatorsPath)
	if err != nil {
		return "", err
	}
	if o.Fleet.Control == "" {
		return "", fmt.Errorf("no address to ask: give --control, or --operators with fleet.control")
	}
	return o.Fleet.Control, nil
}

// send sends one HTTP request to the front and decodes the reply into v.
func (c *configClient) send(method string, body []byte, v any) error {
	addr, err := c.address()
	if err != nil {
		return err
	}
	target := url.URL{Scheme: "http", Host: addr, Path: "/config"}
	r, err := http.NewRequest(method, target.String(), bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := (&http.Client{Timeout: commandTimeout}).Do(r)
	if err != nil {
		return exitError{statusUnknown, fmt.Errorf("the front did not answer: %w", err)}
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return exitError{statusUnknown, err}
	}
	if resp.StatusCode != http.StatusOK {
		return exitError{statusNotDone, fmt.Errorf("%s", strings.TrimSpace(string(text)))}
	}
	return json.Unmarshal(text, v)
}

const maxAnswerBytes = 4 << 20 // largest answer of the front

// ask sends a request through the front to the control machines. An outcome other than Done is returned as an error.
func (c *configClient) ask(r configuration.Request) (a configuration.Answer, err error) {
	body, err := json.Marshal(r)
	if err != nil {
		return a, err
	}
	if err := c.send(http.MethodPost, body, &a); err != nil {
		return a, err
	}
	return a, outcomeError(&a)
}

// outcomeError returns an exitError for an answer whose outcome is not Done, and nil otherwise.
func outcomeError(a *configuration.Answer) error {
	err := fmt.Errorf("%s", a.Error)
	switch {
	case a.Outcome == configuration.Done:
		return nil
	case a.Outcome == configuration.Refused && !a.Conflict:
		return exitError{2, err}
	case a.Outcome == configuration.Unknown:
		return exitError{statusUnknown, err}
	}
	return exitError{statusNotDone, err}
}

// newestVersion returns the number of the newest version.
func (c *configClient) newestVersion() (uint64, error) {
	a, err := c.ask(configuration.Request{Op: configuration.OpGet})
	return a.Version, err
}

// changeFlags are the flags of commands that make a new version.
type changeFlags struct {
	author string // who makes the change
	reason string // why
	base   uint64 // version that the change is based on; the newest one unless the flag is set

	wait time.Duration // longest wait until the change is in force everywhere; 0 to not wait
}

// register adds the flags to a command.
func (f *changeFlags) register(c *cobra.Command) {
	name := ""
	if u, err := user.Current(); err == nil {
		name = u.Username
	}
	c.Flags().StringVar(&f.author, "who", name, "author of the change, for the history")
	c.Flags().StringVar(&f.reason, "why", "", "reason for the change, for the history")
	c.Flags().Uint64Var(&f.base, "base", 0,
		"the version that the change is based on; by default the newest one now")
	c.Flags().DurationVar(&f.wait, "wait", 0, "wait up to this long until the change is in force everywhere")
}

// newRequest returns a request with the fields that all changes have.
func (f *changeFlags) newRequest(
	c *cobra.Command, client *configClient, op configuration.Op,
) (r configuration.Request, err error) {
	if f.reason == "" || f.author == "" {
		return r, fmt.Errorf("--why and --who are required")
	}
	r = configuration.Request{Op: op, Base: f.base, Author: f.author, Reason: f.reason, At: time.Now().UnixMilli()}
	if !c.Flags().Changed("base") {
		r.Base, err = client.newestVersion()
	}
	return r, err
}

// reportAccepted prints the version of an accepted change and, with --wait, waits until it is in force everywhere.
func (f *changeFlags) reportAccepted(c *cobra.Command, client *configClient, version uint64) error {
	fmt.Fprintf(c.OutOrStdout(), "version %d\n", version)
	if f.wait == 0 {
		return nil
	}
	for end := time.Now().Add(f.wait); time.Now().Before(end); time.Sleep(statusInterval) {
		a, err := client.ask(configuration.Request{Op: configuration.OpStatus})
		if err != nil || a.Status == nil {
			continue
		}
		if a.Stage == nil && uint64(a.Status.Newest) >= version && a.Status.Everywhere {
			return client.reportInForce(c.OutOrStdout(), version)
		}
	}
	err := fmt.Errorf("version %d is accepted, but was not in force everywhere within %v", version, f.wait)
	return exitError{statusNotDone, err}
}

// reportInForce prints that a version is in force everywhere, or returns an error if it began a roll-out that was stopped.
func (c *configClient) reportInForce(out io.Writer, version uint64) error {
	a, err := c.ask(configuration.Request{Op: configuration.OpHistory})
	if err != nil {
		return err
	}
	for _, r := range a.History {
		if uint64(r.Version) <= version {
			continue
		}
		if r.Kind == config.KindAbort {
			return exitError{statusNotDone, fmt.Errorf("the roll-out was stopped: %s", r.Reason)}
		}
		if r.Kind != config.KindAdvance {
			break // a later change does not belong to this roll-out
		}
	}
	fmt.Fprintln(out, "in force everywhere")
	return nil
}

// configCommands returns the command `micatrack config`, whose subcommands query and change the fleet's configuration.
func configCommands() *cobra.Command {
	client := &configClient{}
	root := &cobra.Command{Use: "config",
		Short: "Query or change the fleet's configuration through this machine's front"}
	root.PersistentFlags().StringVar(&client.operatorsPath, "operators", "",
		"the operators' file, whose fleet.control is the address to ask")
	root.PersistentFlags().StringVar(&client.control, "control", "", "address to ask instead")
	root.PersistentFlags().BoolVar(&client.asJSON, "json", false, "print JSON")
	root.AddCommand(client.getCommand(), client.setCommand(), client.diffCommand(), client.historyCommand(),
		client.rollbackCommand(), client.statusCommand())
	return root
}

func (c *configClient) getCommand() *cobra.Command {
	var version uint64
	var here bool
	get := &cobra.Command{Use: "get [SCOPE]", Args: cobra.MaximumNArgs(1),
		Short: "Print a version's texts, or one scope's"}
	get.Flags().Uint64Var(&version, "version", 0, "an older version; without it the newest")
	get.Flags().BoolVar(&here, "here", false, "what is in force on this machine's front, even if no control machine can be reached")
	get.RunE = func(cmd *cobra.Command, args []string) error {
		if here && version != 0 {
			return fmt.Errorf("--here and --version exclude each other")
		}
		texts, at, err := c.texts(version, here)
		if err != nil {
			return err
		}
		if len(args) > 0 {
			text, has := scopeText(texts, args[0])
			if !has {
				return exitError{statusNotDone, fmt.Errorf("version %d has no %s", at, args[0])}
			}
			_, err := fmt.Fprintln(cmd.OutOrStdout(), strings.TrimSuffix(text, "\n"))
			return err
		}
		if c.asJSON {
			return json.NewEncoder(cmd.OutOrStdout()).Encode(map[string]any{"version": at, "texts": texts})
		}
		fmt.Fprintf(cmd.OutOrStdout(), "version %d\n", at)
		for _, t := range texts {
			fmt.Fprintf(cmd.OutOrStdout(), "--- %s\n%s\n", t.Scope, strings.TrimSuffix(t.Text, "\n"))
		}
		return nil
	}
	return get
}

// texts returns the texts and the number of a version (0: the newest), or of the one in force on this machine's front.
func (c *configClient) texts(version uint64, here bool) ([]configuration.ScopeText, uint64, error) {
	if here {
		var v configuration.FrontStatus
		err := c.send(http.MethodGet, nil, &v)
		return v.Texts, v.Version, err
	}
	a, err := c.ask(configuration.Request{Op: configuration.OpGet, Version: version})
	return a.Texts, a.Version, err
}

// scopeText returns a scope's text, and whether the scope has one.
func scopeText(texts []configuration.ScopeText, scope string) (string, bool) {
	for _, t := range texts {
		if t.Scope == scope {
			return t.Text, true
		}
	}
	return "", false
}

func (c *configClient) setCommand() *cobra.Command {
	var change changeFlags
	var remove bool
	var program uint32
	var front, zone string
	var soak, limit time.Duration
	set := &cobra.Command{Use: "set SCOPE [FILE]", Args: cobra.RangeArgs(1, 2),
		Short: "Set a scope (settings, operators, discovery) to a file's text; - reads standard input"}
	change.register(set)
	set.Flags().BoolVar(&remove, "remove", false, "remove the scope's text instead of setting it")
	set.Flags().Uint32Var(&program, "program", 0, "the oldest program version that can apply it")
	set.Flags().StringVar(&front, "first-front", "", "roll-out in steps: this front first")
	set.Flags().StringVar(&zone, "then-zone", "", "roll-out in steps: then this zone, then all")
	set.Flags().DurationVar(&soak, "soak", 10*time.Second,
		"roll-out: how long a step must stay in force before the next")
	set.Flags().DurationVar(&limit, "limit", time.Minute,
		"roll-out: a step that takes longer than this stops it")
	set.RunE = func(cmd *cobra.Command, args []string) error {
		if (len(args) == 2) == remove {
			return fmt.Errorf("give a file, or --remove")
		}
		text, err := fileText(cmd, args, remove)
		if err != nil {
			return err
		}
		r, err := change.newRequest(cmd, c, configuration.OpSet)
		if err != nil {
			return err
		}
		r.Scope, r.Text, r.Program = args[0], text, program
		if front != "" || zone != "" {
			r.Rollout = &configuration.Rollout{
				Front: front, Zone: zone, SoakMS: soak.Milliseconds(), LimitMS: limit.Milliseconds(),
			}
		}
		a, err := c.ask(r)
		if err != nil {
			return err
		}
		return change.reportAccepted(cmd, c, a.Version)
	}
	return set
}

// fileText returns the text to set: that of the named file, of standard input for -, or none with --remove.
func fileText(cmd *cobra.Command, args []string, remove bool) (string, error) {
	if remove {
		return "", nil
	}
	var text []byte
	var err error
	if args[1] == "-" {
		text, err = io.ReadAll(io.LimitReader(cmd.InOrStdin(), config.MaxTextBytes+1))
	} else {
		text, err = os.ReadFile(args[1])
	}
	switch {
	case err != nil:
		return "", err
	case len(text) == 0:
		return "", fmt.Errorf("%s is empty; use --remove to remove a scope", args[1])
	case len(text) > config.MaxTextBytes:
		return "", fmt.Errorf("%s has %d bytes; the limit is %d", args[1], len(text), config.MaxTextBytes)
	}
	return string(text), nil
}

func (c *configClient) rollbackCommand() *cobra.Command {
	var change changeFlags
	back := &cobra.Command{Use: "rollback VERSION", Args: cobra.ExactArgs(1),
		Short: "Create a new version with the texts of an older one"}
	change.register(back)
	back.RunE = func(cmd *cobra.Command, args []string) error {
		to, err := strconv.ParseUint(args[0], 10, 64)
		if err != nil {
			return fmt.Errorf("%q is not a version number", args[0])
		}
		r, err := change.newRequest(cmd, c, configuration.OpRollback)
		if err != nil {
			return err
		}
		r.To = to
		a, err := c.ask(r)
		if err != nil {
			return err
		}
		return change.reportAccepted(cmd, c, a.Version)
	}
	return back
}

func (c *configClient) historyCommand() *cobra.Command {
	return &cobra.Command{Use: "history", Args: noArguments,
		Short: "List the versions: who made each, when and why",
		RunE: func(cmd *cobra.Command, _ []string) error {
			a, err := c.ask(configuration.Request{Op: configuration.OpHistory})
			if err != nil {
				return err
			}
			if c.asJSON {
				return json.NewEncoder(cmd.OutOrStdout()).Encode(a.History)
			}
			w := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 0, 2, ' ', 0)
			fmt.Fprintln(w, "VERSION\tWHAT\tWHO\tWHEN\tWHY")
			for _, r := range a.History {
				what := r.Kind.String()
				switch r.Kind {
				case config.KindChange:
					what += " of " + string(r.Scope)
				case config.KindRollback:
					what += fmt.Sprint(" to ", r.To)
				}
				when := time.UnixMilli(r.At).UTC().Format(time.RFC3339)
				fmt.Fprintf(w, "%d\t%s\t%q\t%s\t%q\n", r.Version, what, r.Author, when, r.Reason)
			}
			return w.Flush()
		}}
}

func (c *configClient) diffCommand() *cobra.Command {
	return &cobra.Command{Use: "diff VERSION [VERSION]", Args: cobra.RangeArgs(1, 2),
		Short: "Show which lines differ between two versions; the second defaults to the newest",
		RunE: func(cmd *cobra.Command, args []string) error {
			var texts [2][]configuration.ScopeText
			for k := range texts {
				version := uint64(0)
				if k < len(args) {
					var err error
					if version, err = strconv.ParseUint(args[k], 10, 64); err != nil || version == 0 {
						return fmt.Errorf("%q is not a version number", args[k])
					}
				}
				a, err := c.ask(configuration.Request{Op: configuration.OpGet, Version: version})
				if err != nil {
					return err
				}
				texts[k] = a.Texts
			}
			printDiff(cmd.OutOrStdout(), texts[0], texts[1])
			return nil
		}}
}

func (c *configClient) statusCommand() *cobra.Command {
	var alone bool
	status := &cobra.Command{Use: "status", Args: noArguments,
		Short: "Show what is in force here, and how far the newest version has spread in the fleet"}
	status.Flags().BoolVar(&alone, "here", false, "only what is in force here; no control machine is asked")
	status.RunE = func(cmd *cobra.Command, _ []string) error {
		var here configuration.FrontStatus
		if err := c.send(http.MethodGet, nil, &here); err != nil {
			return err
		}
		var a configuration.Answer
		var err error
		if !alone {
			a, err = c.ask(configuration.Request{Op: configuration.OpStatus})
		}
		if c.asJSON {
			both := map[string]any{"here": here, "fleet": a.Status, "rollout": a.Stage}
			return errors.Join(err, json.NewEncoder(cmd.OutOrStdout()).Encode(both))
		}
		showHere(cmd.OutOrStdout(), &here)
		if err != nil {
			return err
		}
		return showFleet(cmd.OutOrStdout(), &a)
	}
	return status
}

// showHere prints what is in force on this machine's front.
func showHere(out io.Writer, v *configuration.FrontStatus) {
	if v.Version == 0 {
		fmt.Fprintf(out, "%s: no version is in force; it goes by its files\n", v.Front)
	} else {
		fmt.Fprintf(out, "%s: version %d is in force, %s\n", v.Front, v.Version, ageText(v))
	}
	if v.Reason != "" {
		fmt.Fprintf(out, "%s: version %d is %s: %s\n", v.Front, v.Received, v.State, v.Reason)
	}
}

// ageText describes when the version in force was last known to be the newest.
func ageText(v *configuration.FrontStatus) string {
	switch {
	case v.Fresh:
		return "the newest"
	case v.AgeMS < 0:
		ago := time.Duration(v.ForMS) * time.Millisecond
		return fmt.Sprintf("put in force %v ago and not heard to be the newest since", ago)
	}
	return fmt.Sprintf("last heard to be the newest %v ago", time.Duration(v.AgeMS)*time.Millisecond)
}

// showFleet prints how far the newest version has spread in the fleet.
func showFleet(out io.Writer, a *configuration.Answer) error {
	s := a.Status
	if s == nil {
		return nil
	}
	fmt.Fprintf(out, "fleet: newest version %d, lowest in force %d, in force everywhere: %v; ",
		s.Newest, s.Lowest, s.Everywhere)
	fmt.Fprintf(out, "%d fronts have it, %d are silent\n", s.InForce, s.Silent)
	if a.Stage != nil {
		fmt.Fprintf(out, "roll-out of %s since version %d, now at %s\n", a.Stage.Scope, a.Stage.Began, a.Stage.Step)
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "FRONT\tZONE\tSTATE\tIN FORCE\tRECEIVED\tHEARD\tREASON")
	for _, f := range s.Fronts {
		heard := "never"
		if f.Silent >= 0 {
			heard = fmt.Sprint((time.Duration(f.Silent) * tick).Round(time.Millisecond), " ago")
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%s\t%s\n",
			f.Name, f.Zone, f.State, f.InForce, f.Received, heard, f.Reason)
	}
	return w.Flush()
}
