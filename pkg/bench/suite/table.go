package suite

import (
	"fmt"
	"strconv"
	"strings"
)

// significant digits of the table's figures.
const significant = 4

// table renders the figures with their aims and, if there is an earlier run,
// with the ratio to it.
func table(now, earlier documents, failed map[string]error) string {
	var b strings.Builder
	b.WriteString("# Measurements\n\n")
	b.WriteString(heads(now))
	for _, bench := range benches {
		if err := failed[bench.name]; err != nil {
			fmt.Fprintf(&b, "\n%s **failed**: %v\n", bench.name, err)
		}
	}
	b.WriteString("\n| bench | figure | value | aim | earlier | ratio |\n|---|---|---|---|---|---|\n")
	for _, c := range columns {
		fmt.Fprintf(&b, "| %s | %s | %s | %s | %s |\n", c.bench, c.title, shown(now, c), aim(now, c), compared(now, earlier, c))
	}
	b.WriteString("\nTimes depend on what else the machine did; compare ratios of the same run first.\n")
	return b.String()
}

// heads says when each bench ran and under which load.
func heads(d documents) string {
	text := "| bench | date | load average before | after |\n|---|---|---|---|\n"
	for _, b := range benches {
		head, ok := d[b.name].(map[string]any)
		if !ok {
			continue
		}
		text += fmt.Sprintf("| %s | %v | %v | %v |\n", b.name, head["date"], head["load_before"], head["load_after"])
	}
	return text
}

func number(v float64) string { return strconv.FormatFloat(v, 'g', significant, 64) }

func shown(d documents, c column) string {
	v, ok := d.figure(c)
	if !ok {
		return "not measured"
	}
	return number(v)
}

// aim names the bound and whether it is kept.
func aim(d documents, c column) string {
	if !c.hasAim {
		return "-"
	}
	sign := "at most "
	if c.higher {
		sign = "at least "
	}
	text := sign + number(c.aim)
	if v, ok := d.figure(c); ok && c.misses(v) {
		return text + ", **missed**"
	}
	return text
}

// compared gives the earlier value and the ratio to it, as two cells.
func compared(now, earlier documents, c column) string {
	before, ok := earlier.figure(c)
	if !ok {
		return "- | -"
	}
	v, ok := now.figure(c)
	if !ok || before == 0 {
		return number(before) + " | -"
	}
	return number(before) + " | " + number(v/before)
}
