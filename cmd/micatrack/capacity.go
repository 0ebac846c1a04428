package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"runtime/pprof"

	"github.com/spf13/cobra"

	"micatrack/internal/capacity"
)

// errOverLimit makes `micatrack capacity` exit with status 1.
var errOverLimit = errors.New("at least one figure is over its limit")

// capacityOptions are the flags of `micatrack capacity`.
type capacityOptions struct {
	size        capacity.Size
	spans       capacity.Spans
	event       string    // name of the fault to inject
	slopes      string    // name of the figure to vary; empty for a single simulation
	sizes       []float64 // values of the varied figure; empty for its defaults
	asJSON      bool      // print JSON instead of a table
	cpuProfile  string    // file for the CPU profile; empty for none
	heapProfile string    // file for the heap profile; empty for none
}

// capacityCommand returns the command `micatrack capacity`. It simulates a fleet of hollow fronts, which run a front's
// control code without sockets, and prints what the fleet costs.
func capacityCommand() *cobra.Command {
	var o capacityOptions
	c := &cobra.Command{Use: "capacity", Short: "Simulate a whole fleet on a virtual clock and print what it costs",
		Args: noArguments, RunE: func(c *cobra.Command, _ []string) error {
			return o.run(c.OutOrStdout(), c.ErrOrStderr())
		}}
	flags := c.Flags()
	flags.IntVar(&o.size.Fronts, "fronts", 100, "hollow fronts, which run without sockets")
	flags.IntVar(&o.size.Stores, "stores", 99, "stores, in groups of three")
	flags.IntVar(&o.size.Zones, "zones", 3, "zones, over which fronts and stores are spread in turn")
	flags.IntVar(&o.size.Regions, "regions", 1, "regions, over which zones are spread in turn")
	flags.Float64Var(&o.size.Statements, "statements", 10, "statements per second on each front; 0: none")
	flags.BoolVar(&o.size.Watch, "watch", true, "watch the stores' positions")
	flags.BoolVar(&o.size.Leases, "leases", true, "grant leases by five control machines")
	flags.BoolVar(&o.size.Lossless, "lossless", false, "lose no datagram between fronts; otherwise 1 % is lost")
	flags.Uint64Var(&o.size.Seed, "seed", 1, "seed of the simulation")
	flags.StringVar(&o.event, "event", "none", "fault that follows the calm phase:"+eventList())
	flags.IntVar(&o.spans.Start, "start", 20, "seconds of first contact, reported separately from the calm phase")
	flags.IntVar(&o.spans.Calm, "calm", 60, "seconds of the calm phase")
	flags.IntVar(&o.spans.Event, "event-time", 10, "seconds that the fault lasts")
	flags.IntVar(&o.spans.Recovery, "recovery", 20, "seconds of recovery after the fault")
	flags.StringVar(&o.slopes, "slopes", "",
		"vary one figure and fit slopes: fronts, stores, statements, zones or regions")
	flags.Float64SliceVar(&o.sizes, "sizes", nil, "sizes for --slopes, instead of its defaults")
	flags.BoolVar(&o.asJSON, "json", false, "print JSON instead of a table")
	flags.StringVar(&o.cpuProfile, "cpu-profile", "", "write a CPU profile to this file")
	flags.StringVar(&o.heapProfile, "heap-profile", "", "write a heap profile to this file at the end")
	return c
}

// eventList returns one line of help text for each fault.
func eventList() (text string) {
	for _, event := range capacity.Events() {
		text += fmt.Sprintf("\n%s: %s", event.Name, event.Short)
	}
	return text
}

// report is the result of a simulation or of a series of them.
type report interface {
	Print(out io.Writer) error
	Over() bool
}

// run executes the command. It prints the result to out and messages about its progress to progress.
func (o *capacityOptions) run(out, progress io.Writer) error {
	stop, err := o.profile()
	if err != nil {
		return err
	}
	result, err := o.play(progress)
	if err := errors.Join(err, stop()); err != nil {
		return err
	}
	if o.asJSON {
		encoder := json.NewEncoder(out)
		encoder.SetIndent("", "  ")
		err = encoder.Encode(result)
	} else {
		err = result.Print(out)
	}
	if err == nil && result.Over() {
		return exitError{1, errOverLimit}
	}
	return err
}

// play runs one simulation or, with --slopes, one for each size of the varied figure.
func (o *capacityOptions) play(progress io.Writer) (report, error) {
	event, err := capacity.EventByName(o.event)
	if err != nil {
		return nil, err
	}
	play := capacity.Play{Size: o.size, Event: event, Spans: o.spans, Progress: progress, Measure: true}
	if o.slopes == "" {
		return play.Run()
	}
	axis, err := capacity.AxisByName(o.slopes)
	if err != nil {
		return nil, err
	}
	if len(o.sizes) > 0 {
		axis.Sizes = o.sizes
	}
	return capacity.Vary(play, axis)
}

// profile starts the requested profiles; stop writes them.
func (o *capacityOptions) profile() (stop func() error, err error) {
	var cpuFile *os.File
	if o.cpuProfile != "" {
		if cpuFile, err = os.Create(o.cpuProfile); err != nil {
			return nil, err
		}
		if err = pprof.StartCPUProfile(cpuFile); err != nil {
			return nil, err
		}
	}
	return func() error {
		if cpuFile != nil {
			pprof.StopCPUProfile()
			if err := cpuFile.Close(); err != nil {
				return err
			}
		}
		return o.writeHeap()
	}, nil
}

func (o *capacityOptions) writeHeap() error {
	if o.heapProfile == "" {
		return nil
	}
	file, err := os.Create(o.heapProfile)
	if err != nil {
		return err
	}
	return errors.Join(pprof.WriteHeapProfile(file), file.Close())
}
