package main

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"github.com/carawayhold/carawayhold/cmd/carawaybench/internal/overload"
)

func overloadCommand() *cli.Command {
	return &cli.Command{
		Name:  "overload",
		Usage: "replay services under more load than they can serve, beside a bound that no placement exceeds",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "scenario", Usage: "replay this scenario only"},
			&cli.StringFlag{Name: "loads", Usage: "loads, relative to what the slots serve", Value: "0.5,0.8,1.0,1.3,1.8"},
			&cli.Uint64Flag{Name: "seeds", Usage: "seeds of each run", Value: 3},
			&cli.BoolFlag{Name: "causes", Usage: "print what became of unserved requests, by cause and second, and how long requests waited"},
		},
		Action: func(_ context.Context, command *cli.Command) error {
			loads, err := parseLoads(command.String("loads"))
			if err != nil {
				return err
			}
			return compareOverload(os.Stdout, command.String("scenario"), loads, max(1, command.Uint64("seeds")), command.Bool("causes"))
		},
	}
}

// maxOverload bounds the loads that can be asked for.
const maxOverload = 10

func parseLoads(text string) ([]float64, error) {
	var loads []float64
	for _, field := range strings.Split(text, ",") {
		load, err := strconv.ParseFloat(strings.TrimSpace(field), 64)
		if err != nil || !(load > 0 && load <= maxOverload) {
			return nil, eris.Errorf("overload: %q is no load above 0 and up to %d", field, maxOverload)
		}
		loads = append(loads, load)
	}
	return loads, nil
}

func compareOverload(w io.Writer, name string, loads []float64, seeds uint64, causes bool) error {
	var selected []*overload.Scenario
	for _, s := range overload.Scenarios() {
		if name == "" || s.Name() == name {
			selected = append(selected, s)
		}
	}
	if len(selected) == 0 {
		return eris.Errorf("overload: no scenario %q", name)
	}
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "scenario\tload\tpolicy\tworth\tbound\tlengths unknown\tby rank\tof that\t\tserved\tby kind, on time and late\trefused after (99%)")
	for _, s := range selected {
		for _, load := range loads {
			bounds := overload.BoundsOf(s, load, seeds)
			for _, p := range overload.Policies() {
				result := overload.Run(s, p, load, 1)
				for seed := uint64(2); seed <= seeds; seed++ {
					result.Add(overload.Run(s, p, load, seed))
				}
				printOverload(table, s, p, load, result, bounds)
				if causes {
					if err := table.Flush(); err != nil {
						return err
					}
					printCauses(w, result)
				}
			}
		}
	}
	return table.Flush()
}

// barWidth is the length of the bar of a whole.
const barWidth = 30

func bar(share float64) string { return strings.Repeat("#", int(share*barWidth+0.5)) }

func printOverload(w io.Writer, s *overload.Scenario, p *overload.Policy, load float64, r *overload.Result, b overload.Bounds) {
	var kinds []string
	for _, name := range r.Kinds() {
		onTime, late := r.KindServed(name)
		kinds = append(kinds, fmt.Sprintf("%s %.2f %.2f", name, onTime, late))
	}
	reached := r.Worth() / b.ByRank()
	fmt.Fprintf(w, "%s\t%.2f\t%s\t%.3f\t%.3f\t%.3f\t%.3f\t%.2f\t%s\t%.3f\t%s\t%d ms\n", s.Name(), load, p.Name(), r.Worth(),
		b.AllKnown(), b.LengthsUnknown(), b.ByRank(), reached, bar(reached),
		r.Served(), strings.Join(kinds, ", "), r.RefusalTime(0.99).Milliseconds())
}

func printCauses(w io.Writer, r *overload.Result) {
	shares := r.Causes()
	for _, cause := range slices.SortedFunc(maps.Keys(shares), func(a, b string) int {
		return cmp.Or(cmp.Compare(shares[b], shares[a]), cmp.Compare(a, b))
	}) {
		fmt.Fprintf(w, "    %.3f  %s\n", shares[cause], cause)
	}
	fmt.Fprint(w, "    unserved by second:")
	unserved := r.Unserved()
	for _, second := range slices.Sorted(maps.Keys(unserved)) {
		fmt.Fprintf(w, " %d:%d", second, unserved[second])
	}
	fmt.Fprintln(w)
	for _, step := range r.Waits() {
		upTo := "more"
		if step.UpTo() > 0 {
			upTo = fmt.Sprintf("%d ms", step.UpTo().Milliseconds())
		}
		fmt.Fprintf(w, "    waited to %-8s %.3f %s\n", upTo, step.Share(), bar(step.Share()))
	}
}
