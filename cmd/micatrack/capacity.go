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

// errOverLimit ends `micatrack capacity` with status 1.
var errOverLimit = errors.New("at least one figure is over its limit")

// capacityOptions are the flags of `micatrack capacity`.
type capacityOptions struct {
	size                    capacity.Size
	spans                   capacity.Spans
	event, slopes           string
	sizes                   []float64
	asJSON                  bool
	cpuProfile, heapProfile string
}

// capacityCommand plays a fleet of hollow fronts and prints what it costs.
func capacityCommand() *cobra.Command {
	var o capacityOptions
	c := &cobra.Command{Use: "capacity", Short: "Play a whole fleet on a virtual clock and print what it costs",
		Args: noArguments, RunE: func(c *cobra.Command, _ []string) error {
			return o.run(c.OutOrStdout(), c.ErrOrStderr())
		}}
	flags := c.Flags()
	flags.IntVar(&o.size.Fronts, "fronts", 100, "hollow fronts")
	flags.IntVar(&o.size.Stores, "stores", 99, "stores, in groups of three")
	flags.IntVar(&o.size.Zones, "zones", 3, "zones, over which fronts and stores are spread in turn")
	flags.IntVar(&o.size.Regions, "regions", 1, "regions, over which zones are spread in turn")
	flags.Float64Var(&o.size.Statements, "statements", 10, "statements a second of each front; 0: none")
	flags.BoolVar(&o.size.Watch, "watch", true, "the watch of positions")
	flags.BoolVar(&o.size.Leases, "leases", true, "leases, granted by five control machines")
	flags.BoolVar(&o.size.Lossless, "lossless", false, "no datagram between fronts is lost; otherwise 1 %")
	flags.Uint64Var(&o.size.Seed, "seed", 1, "seed of the play")
	flags.StringVar(&o.event, "event", "none", "trouble behind the calm time:"+eventList())
	flags.IntVar(&o.spans.Start, "start", 20, "seconds of first contact, told apart from calm")
	flags.IntVar(&o.spans.Calm, "calm", 60, "seconds of calm")
	flags.IntVar(&o.spans.Event, "event-time", 10, "seconds that the trouble lasts")
	flags.IntVar(&o.spans.Recovery, "recovery", 20, "seconds behind it")
	flags.StringVar(&o.slopes, "slopes", "",
		"vary one figure and fit slopes: fronts, stores, statements, zones or regions")
	flags.Float64SliceVar(&o.sizes, "sizes", nil, "sizes for --slopes, in place of its own")
	flags.BoolVar(&o.asJSON, "json", false, "print JSON in place of a table")
	flags.StringVar(&o.cpuProfile, "cpu-profile", "", "write a profile of processor time to this file")
	flags.StringVar(&o.heapProfile, "heap-profile", "", "write a profile of memory at the end to this file")
	return c
}

func eventList() (text string) {
	for _, event := range capacity.Events() {
		text += fmt.Sprintf("\n%s: %s", event.Name, event.Short)
	}
	return text
}

// report is what a play or a study comes to.
type report interface {
	Print(out io.Writer) error
	Over() bool
}

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

// profile begins the profiles that were asked for; stop writes them.
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
