package scale

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// Allowance limits the cost of a unit of a role. 0 means no limit.
type Allowance struct {
	CPU    float64 `json:"cpu_percent,omitempty"`
	Bytes  float64 `json:"bytes_per_s,omitempty"`
	Memory float64 `json:"memory_mb,omitempty"`
}

// The allowances of routers and coordinator nodes. The nodes together may have the traffic of all routers together.
const (
	routerBytesPerSecond = 6000
	allowedRouters       = 610
	coordinatorMachines  = 6
)

var (
	routerAllowance  = Allowance{CPU: 1.4, Bytes: routerBytesPerSecond, Memory: 64}
	machineAllowance = Allowance{Bytes: allowedRouters * routerBytesPerSecond / coordinatorMachines}
)

// Row is the average cost of a unit of a role.
type Row struct {
	Role      string             `json:"role"`
	Processes int                `json:"processes"`
	Units     int                `json:"units"` // number of units in the processes; the figures are averages over them
	CPU       float64            `json:"cpu_percent"`
	Bytes     float64            `json:"bytes_per_s"`    // both directions
	Messages  float64            `json:"messages_per_s"` // segments with payload, both directions
	Memory    float64            `json:"memory_mb"`
	Allowance Allowance          `json:"allowance"`
	OK        bool               `json:"ok"`
	Exceeded  []string           `json:"over,omitempty"`
	Extra     map[string]float64 `json:"more,omitempty"` // additional figures, per second and unit
}

// checkAllowance sets what is over the allowance.
func (r *Row) checkAllowance() {
	r.Exceeded = nil
	for _, figure := range []struct {
		name             string
		value, allowance float64
	}{
		{"cpu_percent", r.CPU, r.Allowance.CPU},
		{"bytes_per_s", r.Bytes, r.Allowance.Bytes},
		{"memory_mb", r.Memory, r.Allowance.Memory},
	} {
		if figure.allowance > 0 && figure.value > figure.allowance {
			r.Exceeded = append(r.Exceeded, fmt.Sprintf("%s %s %.4g of %.4g", r.Role, figure.name, figure.value, figure.allowance))
		}
	}
	r.OK = len(r.Exceeded) == 0
}

// PrintRows writes rows as a table, followed by the line of OverAllowance.
func PrintRows(w io.Writer, rows []Row) {
	var table strings.Builder
	table.WriteString("role\tprocesses\tunits\tcpu_percent\t(allowed)\tbytes_per_s\t(allowed)\tmessages_per_s\tmemory_mb\t(allowed)\tok\n")
	for _, r := range rows {
		fmt.Fprintf(&table, "%s\t%d\t%d\t%.3f\t%s\t%.0f\t%s\t%.1f\t%.2f\t%s\t%v\n",
			r.Role, r.Processes, r.Units, r.CPU, formatAllowance(r.Allowance.CPU), r.Bytes, formatAllowance(r.Allowance.Bytes),
			r.Messages, r.Memory, formatAllowance(r.Allowance.Memory), r.OK)
	}
	printText(w, alignColumns(table.String())+OverAllowance(rows)+"\n")
}

func formatAllowance(allowance float64) string {
	if allowance == 0 {
		return "-"
	}
	return fmt.Sprintf("%.4g", allowance)
}

// OverAllowance returns a line that lists the figures over their allowance.
func OverAllowance(rows []Row) string {
	var over []string
	for _, r := range rows {
		over = append(over, r.Exceeded...)
	}
	if len(over) == 0 {
		return "over: none"
	}
	return "over: " + strings.Join(over, "; ")
}

// alignColumns aligns tab-separated columns.
func alignColumns(lines string) string {
	const columnGap = 2
	var aligned strings.Builder
	w := tabwriter.NewWriter(&aligned, 0, 4, columnGap, ' ', 0)
	_, _ = io.WriteString(w, lines) // writes to a strings.Builder don't fail
	_ = w.Flush()
	return aligned.String()
}

// printText writes a command's output. It ignores errors, since there is no other place to report them.
func printText(w io.Writer, text string) { _, _ = io.WriteString(w, text) }
