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

// exitError carries the status that the program ends with, where that is not 2.
type exitError struct {
	status int
	error
}

// run carries out a command line and gives the status to end with: 2 for what it was told wrong.
func run(args []string, out, errs io.Writer) int {
	root := rootCommand()
	root.SetArgs(doubleDashes(args))
	root.SetOut(out)
	root.SetErr(errs)
	err := root.Execute()
	if err == nil {
		return 0
	}
	fmt.Fprintln(errs, "micatrack:", err)
	var f exitError
	if errors.As(err, &f) {
		return f.status
	}
	return 2
}

// doubleDashes lets flags be given with one dash too, as they were before there were two: -config as --config.
func doubleDashes(args []string) []string {
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

func rootCommand() *cobra.Command {
	root := &cobra.Command{Use: "micatrack", Short: "A query router for sharded, replicated databases",
		SilenceUsage: true, SilenceErrors: true, Args: cobra.ArbitraryArgs,
		RunE: func(c *cobra.Command, args []string) error {
			if len(args) > 0 {
				return fmt.Errorf("unknown command %q; see micatrack --help", args[0])
			}
			return fmt.Errorf("no command given\n%s", c.UsageString())
		}}
	version := &cobra.Command{Use: "version", Short: "Print the version", Args: noArguments,
		Run: func(c *cobra.Command, _ []string) { fmt.Fprintln(c.OutOrStdout(), "micatrack", version()) }}
	root.AddCommand(version,
		frontCommand("serve", "Route queries until SIGTERM", func(_ *cobra.Command, cfg frontConfig, read configReader) error {
			return serve(cfg, read)
		}),
		frontCommand("check", "Read the configuration and the operators' file, say what is in them, and end",
			func(c *cobra.Command, cfg frontConfig, _ configReader) error {
				fmt.Fprintf(c.OutOrStdout(), "%s: listens on %s, discovery at %s, %d profiles, %d stores known, on: %s\n",
					cfg.name, cfg.listen, cfg.discovery, len(cfg.settings.Classes), len(cfg.knownStores.Entries), cfg.enabledSubsystems())
				return nil
			}),
		fleetCommands(), stateCommands(), configCommands(), capacityCommand())
	return root
}

func noArguments(_ *cobra.Command, args []string) error {
	if len(args) > 0 {
		return fmt.Errorf("unexpected argument %q", args[0])
	}
	return nil
}

// configReader reads the configuration anew, from where the command line has it.
type configReader func() (frontConfig, error)

// frontCommand is a command that takes a front's configuration.
func frontCommand(name, short string, do func(c *cobra.Command, cfg frontConfig, read configReader) error) *cobra.Command {
	var path, listen, discovery, operators string
	c := &cobra.Command{Use: name, Short: short, Args: noArguments}
	c.RunE = func(c *cobra.Command, _ []string) error {
		if name == "serve" {
			catchSignals()
		}
		read := func() (frontConfig, error) { return readConfiguration(path, listen, discovery, operators) }
		cfg, err := read()
		if err != nil {
			return err
		}
		return do(c, cfg, read)
	}
	c.Flags().StringVar(&path, "config", os.Getenv("GW_CONFIG"), "configuration file, JSON (or GW_CONFIG)")
	c.Flags().StringVar(&listen, "listen", "", "address for clients (or the configuration, or GW_LISTEN)")
	c.Flags().StringVar(&discovery, "discovery", "", "address of discovery (or the configuration, or GW_DISCOVERY)")
	c.Flags().StringVar(&operators, "operators", os.Getenv("MICATRACK_OPERATORS"),
		"the operators' file, JSON (or MICATRACK_OPERATORS); without it all that it could switch on is off")
	return c
}

// enabledSubsystems names the subsystems that the operators have switched on.
func (cfg *frontConfig) enabledSubsystems() string {
	var names []string
	if cfg.operators.Door.On {
		names = append(names, "door")
	}
	if cfg.operators.Bolt.On {
		names = append(names, "bolt")
	}
	if cfg.operators.Fleet.On {
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
