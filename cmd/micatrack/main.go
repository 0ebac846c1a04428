// Command micatrack is a query router for sharded, replicated databases.
package main

import (
	"flag"
	"fmt"
	"os"
	"runtime/debug"
)

const usage = `usage: micatrack COMMAND [flags]

  serve    route queries until SIGTERM
  check    read the configuration, say what is in it, and end
  version  print the version

micatrack COMMAND -h tells a command's flags.
`

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	if len(args) == 0 {
		fmt.Fprint(os.Stderr, usage)
		return 2
	}
	switch args[0] {
	case "serve", "check":
		return start(args[0], args[1:])
	case "version":
		fmt.Println("micatrack", version())
		return 0
	case "-h", "-help", "--help", "help":
		fmt.Print(usage)
		return 0
	}
	fmt.Fprintf(os.Stderr, "micatrack: unknown command %q\n%s", args[0], usage)
	return 2
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

func start(name string, args []string) int {
	flags := flag.NewFlagSet("micatrack "+name, flag.ContinueOnError)
	path := flags.String("config", os.Getenv("GW_CONFIG"), "configuration file, JSON (or GW_CONFIG)")
	listen := flags.String("listen", "", "address for clients (or the configuration, or GW_LISTEN)")
	discovery := flags.String("discovery", "", "address of discovery (or the configuration, or GW_DISCOVERY)")
	if err := flags.Parse(args); err == flag.ErrHelp {
		return 0
	} else if err != nil {
		return 2
	}
	if flags.NArg() > 0 {
		fmt.Fprintf(os.Stderr, "micatrack %s: unexpected argument %q\n", name, flags.Arg(0))
		return 2
	}
	read := func() (orders, error) { return configuration(*path, *listen, *discovery) }
	o, err := read()
	if err != nil {
		fmt.Fprintln(os.Stderr, "micatrack:", err)
		return 2
	}
	if name == "check" {
		fmt.Printf("%s: listens on %s, discovery at %s, %d profiles, %d stores known\n",
			o.name, o.listen, o.discovery, len(o.charter.Profiles), len(o.known.Lines))
		return 0
	}
	return serve(o, read)
}
