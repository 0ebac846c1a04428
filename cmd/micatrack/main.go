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

// exitError is an error for which the program exits with a status other than 2.
type exitError struct {
	status int
	error
}

// run executes a command line and returns the exit status: 0 on success, an exitError's status, and 2 for any other error,
// such as invalid arguments or files.
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
	var exitErr exitError
	if errors.As(err, &exitErr) {
		return exitErr.status
	}
	return 2
}

// doubleDashes returns args with -config written as --config, and so on for each flag. Flags had one dash in earlier
// versions, and that form is still accepted.
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

// rootCommand returns the command `micatrack` with all subcommands.
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
		frontCommand("check", "Read the configuration and the operators' file, and print a summary of them",
			func(c *cobra.Command, cfg frontConfig, _ configReader) error {
				fmt.Fprintf(c.OutOrStdout(), "%s: listens on %s, discovery at %s, %d profiles, %d stores known, on: %s\n",
					cfg.name, cfg.listen, cfg.discovery, len(cfg.settings.Classes), len(cfg.knownStores.Entries), cfg.enabledSubsystems())
				return nil
			}),
		fleetCommands(), stateCommands(), configCommands(), capacityCommand())
	return root
}

// noArguments rejects positional arguments.
func noArguments(_ *cobra.Command, args []string) error {
	if len(args) > 0 {
		return fmt.Errorf("unexpected argument %q", args[0])
	}
	return nil
}

// configReader reads the configuration again from the files that the command line names.
type configReader func() (frontConfig, error)

// frontCommand returns a command that reads a front's configuration and calls do with it.
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
		"the operators' file, JSON (or MICATRACK_OPERATORS); without it, everything that it can enable is off")
	return c
}

// enabledSubsystems lists the subsystems that the operators' file enables.
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

// version returns the module's version, or the commit if there is none, and the Go version.
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
