package loadview

import "time"

const (
	// longestInterval is the interval of the reports of large deployments, and that
	// of the load reports to the assigner.
	longestInterval = time.Second
	// At most quarterVMs VMs report maxReports times in longestInterval. Beyond that
	// the reports per second of all VMs together stay the same until each VM sends
	// one.
	maxReports = 4
	quarterVMs = 58
)

// ReportInterval returns the time between two reports of a VM in a deployment with
// the given number of VMs. It divides one second evenly.
func ReportInterval(vms int) time.Duration {
	perSecond := min(max(maxReports*quarterVMs/max(vms, 1), 1), maxReports)
	return longestInterval / time.Duration(perSecond)
}
