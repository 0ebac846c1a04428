// Command micatrack is a query router for sharded, replicated databases.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"runtime/debug"
	"strings"

	"github.com/spf13/cobra"
)

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

// exit carries the status that the program ends with, where that is not 2.
type exit struct {
	status int
	error
}

// run carries out a command line and gives the status to end with: 2 for what it was told wrong.
func run(args []string, out, errs io.Writer) int {
	root := commands()
	root.SetArgs(doubled(args))
	root.SetOut(out)
	root.SetErr(errs)
	err := root.Execute()
	if err == nil {
		return 0
	}
	fmt.Fprintln(errs, "micatrack:", err)
	var f exit
	if errors.As(err, &f) {
		return f.status
	}
	return 2
}

// doubled lets flags be given with one dash too, as they were before there were two: -config as --config.
func doubled(args []string) []string {
	args = append([]string(nil), args...)
	for i, a := range args {
		if a == "--" {
			break
		}
		if len(a) > 2 && a[0] == '-' && a[1] != '-' {
			args[i] = "-" + a
		}
	}
	return args
}

func commands() *cobra.Command {
	root := &cobra.Command{Use: "micatrack", Short: "A query router for sharded, replicated databases",
		SilenceUsage: true, SilenceErrors: true, Args: cobra.ArbitraryArgs,
		RunE: func(c *cobra.Command, args []string) error {
			if len(args) > 0 {
				return fmt.Errorf("unknown command %q; see micatrack --help", args[0])
			}
			return fmt.Errorf("no command given\n%s", c.UsageString())
		}}
	version := &cobra.Command{Use: "version", Short: "Print the version", Args: unexpected,
		Run: func(c *cobra.Command, _ []string) { fmt.Fprintln(c.OutOrStdout(), "micatrack", version()) }}
	root.AddCommand(version,
		fronted("serve", "Route queries until SIGTERM", func(_ *cobra.Command, o orders, read reader) error {
			return serve(o, read)
		}),
		fronted("check", "Read the configuration and the operators' file, say what is in them, and end",
			func(c *cobra.Command, o orders, _ reader) error {
				fmt.Fprintf(c.OutOrStdout(), "%s: listens on %s, discovery at %s, %d profiles, %d stores known, on: %s\n",
					o.name, o.listen, o.discovery, len(o.settings.Classes), len(o.known.Entries), o.on())
				return nil
			}),
		fleetCommands(), stateCommands(), configCommands(), capacityCommand())
	return root
}

func unexpected(_ *cobra.Command, args []string) error {
	if len(args) > 0 {
		return fmt.Errorf("unexpected argument %q", args[0])
	}
	return nil
}

// reader reads the configuration anew, from where the command line has it.
type reader func() (orders, error)

// fronted is a command that takes a front's configuration.
func fronted(name, short string, do func(c *cobra.Command, o orders, read reader) error) *cobra.Command {
	var path, listen, discovery, operators string
	c := &cobra.Command{Use: name, Short: short, Args: unexpected}
	c.RunE = func(c *cobra.Command, _ []string) error {
		if name == "serve" {
			heed()
		}
		read := func() (orders, error) { return readConfiguration(path, listen, discovery, operators) }
		o, err := read()
		if err != nil {
			return err
		}
		return do(c, o, read)
	}
	c.Flags().StringVar(&path, "config", os.Getenv("GW_CONFIG"), "configuration file, JSON (or GW_CONFIG)")
	c.Flags().StringVar(&listen, "listen", "", "address for clients (or the configuration, or GW_LISTEN)")
	c.Flags().StringVar(&discovery, "discovery", "", "address of discovery (or the configuration, or GW_DISCOVERY)")
	c.Flags().StringVar(&operators, "operators", os.Getenv("MICATRACK_OPERATORS"),
		"the operators' file, JSON (or MICATRACK_OPERATORS); without it all that it could switch on is off")
	return c
}

// on names the subsystems that the operators have switched on.
func (o *orders) on() string {
	var names []string
	if o.operators.Door.On {
		names = append(names, "door")
	}
	if o.operators.Bolt.On {
		names = append(names, "bolt")
	}
	if o.operators.Fleet.On {
		names = append(names, "fleet")
	}
	if len(names) == 0 {
		return "nothing more"
	}
	return strings.Join(names, ", ")
}

func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	v := info.Main.Version
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" && (v == "" || v == "(devel)") {
			v = s.Value[:min(12, len(s.Value))]
		}
	}
	return v + " " + info.GoVersion
}
