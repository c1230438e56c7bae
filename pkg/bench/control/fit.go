package control

import (
	"math"

	"gonum.org/v1/gonum/mat"
)

// metric is a figure of a run that is fitted over the sizes.
type metric struct {
	name string
	of   func(*Run) (float64, bool)
}

func usageMetrics(part string, of func(*Run) *Usage) []metric {
	field := func(name string, f func(*Usage) float64) metric {
		return metric{part + "." + name, func(r *Run) (float64, bool) {
			u := of(r)
			if u == nil {
				return 0, false
			}
			return f(u), true
		}}
	}
	return []metric{
		field("cpu_percent_of_core", func(u *Usage) float64 { return u.CPUPercentOfCore }),
		field("bytes_per_s", func(u *Usage) float64 { return u.BytesPerS }),
		field("messages_per_s", func(u *Usage) float64 { return u.MessagesPerS }),
		field("heap_bytes", func(u *Usage) float64 { return u.HeapBytes }),
	}
}

func metrics() []metric {
	return append(usageMetrics("steady", func(r *Run) *Usage { return r.Steady }),
		append(usageMetrics("config", func(r *Run) *Usage {
			if r.Config == nil {
				return nil
			}
			return &r.Config.Usage
		}), usageMetrics("restarts", func(r *Run) *Usage {
			if r.Restarts == nil {
				return nil
			}
			return &r.Restarts.Usage
		})...)...)
}

// minFitRuns is the number of runs from which on a fit is made: one more than
// it has unknowns, so that there are residuals.
const minFitRuns = 4

// fits returns the slopes of all metrics that enough runs have.
func fits(runs []Run) []Slope {
	var slopes []Slope
	for _, m := range metrics() {
		var daemons, groups, values []float64
		for i := range runs {
			if v, ok := m.of(&runs[i]); ok {
				daemons = append(daemons, float64(runs[i].Daemons))
				groups = append(groups, float64(runs[i].Groups))
				values = append(values, v)
			}
		}
		if s, ok := fit(daemons, groups, values); ok {
			s.Metric = m.name
			slopes = append(slopes, s)
		}
	}
	return slopes
}

// fit solves values = intercept + perDaemon*daemons + perGroup*groups by least
// squares. A size that never varies has slope zero.
func fit(daemons, groups, values []float64) (Slope, bool) {
	if len(values) < minFitRuns || !varies(daemons) {
		return Slope{}, false
	}
	columns := [][]float64{daemons}
	if varies(groups) {
		columns = append(columns, groups)
	}
	a := mat.NewDense(len(values), 1+len(columns), nil)
	for i := range values {
		a.Set(i, 0, 1)
		for j, c := range columns {
			a.Set(i, 1+j, c[i])
		}
	}
	var x mat.Dense
	if err := x.Solve(a, mat.NewDense(len(values), 1, values)); err != nil {
		return Slope{}, false
	}
	s := Slope{Intercept: x.At(0, 0), PerDaemon: x.At(1, 0)}
	if len(columns) > 1 {
		s.PerGroup = x.At(2, 0)
	}
	var squares float64
	for i, v := range values {
		residual := v - s.at(daemons[i], groups[i])
		squares += residual * residual
		s.MaxResidual = max(s.MaxResidual, math.Abs(residual))
	}
	s.RMSResidual = math.Sqrt(squares / float64(len(values)))
	s.AtPlan = s.at(PlanDaemons, PlanGroups)
	return s, true
}

func (s *Slope) at(daemons, groups float64) float64 {
	return s.Intercept + s.PerDaemon*daemons + s.PerGroup*groups
}

func varies(list []float64) bool {
	for _, v := range list {
		if v != list[0] {
			return true
		}
	}
	return false
}
