package capacity

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

const columnGap = 2 // spaces between columns

func columns(out io.Writer) *tabwriter.Writer {
	return tabwriter.NewWriter(out, 0, 0, columnGap, ' ', 0)
}

// number gives a figure with as many places as it needs.
func number(value float64) string {
	switch {
	case value == 0:
		return "0"
	case value >= 100:
		return fmt.Sprintf("%.0f", value)
	case value >= 1:
		return fmt.Sprintf("%.2f", value)
	default:
		return fmt.Sprintf("%.4f", value)
	}
}

// Print writes a play's table.
func (r *Result) Print(out io.Writer) error {
	const head = "%s; event %s; start %d s, calm %d s, event %d s, recovery %d s; seed %d; played in %.0f s\n"
	fmt.Fprintf(out, head,
		r.Size, r.Event, r.Spans.Start, r.Spans.Calm, r.Spans.Event, r.Spans.Recovery, r.Size.Seed, r.Seconds)
	table := columns(out)
	fmt.Fprintln(table, "quantity\tvalue\tunit\tlimit\tmargin\tsource")
	for _, quantity := range r.Quantities {
		limit, margin := "", ""
		if quantity.Limit > 0 {
			limit, margin = number(quantity.Limit), fmt.Sprintf("%.0f %%", 100*(1-quantity.Value/quantity.Limit))
		}
		if quantity.Over() {
			margin = fmt.Sprintf("OVER, %.1f times", quantity.Value/quantity.Limit)
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%s\n", quantity.Name, number(quantity.Value), quantity.Unit, limit,
			margin,
			quantity.Source)
	}
	for _, row := range r.BySubject {
		fmt.Fprintf(table, "%s.%s\t%s\tbytes/s\t\t\t%s messages/s a front\n", row.Phase, row.Subject,
			number(row.Bytes),
			number(row.Messages))
	}
	fmt.Fprintf(table, "requests\t%d\tcount\t\t\t%d in time, %d late, %d refused, %d failed, %d lost\n",
		r.Outcome.Requests,
		r.Outcome.InTime, r.Outcome.Late, r.Outcome.Back, r.Outcome.Off, r.Outcome.Lost)
	return table.Flush()
}

// Print writes a study's slopes.
func (s *Study) Print(out io.Writer) error {
	var sizes []string
	for _, size := range s.Sizes {
		sizes = append(sizes, number(size))
	}
	fmt.Fprintf(out, "slopes over %s: %s\n", s.Axis, strings.Join(sizes, ", "))
	table := columns(out)
	fmt.Fprintln(table, "quantity\tvalues\tunit\texponent\tresidual\tpromised\t")
	for _, slope := range s.Slopes {
		var values []string
		for _, value := range slope.Values {
			values = append(values, number(value))
		}
		exponent, residual, promised, note := "", "", "", slope.By
		if slope.Fit != nil {
			exponent, residual = fmt.Sprintf("%.2f", slope.Fit.Exponent), fmt.Sprintf("%.2f", slope.Fit.Residual)
		}
		if slope.Promised != nil {
			promised = fmt.Sprintf("%.1f", *slope.Promised)
		}
		if slope.Finding() {
			note = "FINDING, steeper than: " + slope.By
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%s\t%s\n", slope.Quantity, strings.Join(values, " "), slope.Unit,
			exponent,
			residual, promised, note)
	}
	return table.Flush()
}
