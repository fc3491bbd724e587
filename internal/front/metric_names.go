package front

// MetricName names a message or an output in metrics. Operators' dashboards use
// these names, so they stay when a type is renamed.

// Messages.
func (Tick) MetricName() string         { return "Tick" }
func (Submit) MetricName() string       { return "Submit" }
func (Finished) MetricName() string     { return "Finished" }
func (GrantChanged) MetricName() string { return "GrantChanged" }
func (Assigned) MetricName() string     { return "Assigned" }
func (Remembered) MetricName() string   { return "Remembered" }
func (Recalled) MetricName() string     { return "Recalled" }
func (Tell) MetricName() string         { return "Tell" }

// Outputs.
func (Answer) MetricName() string   { return "Answer" }
func (Drained) MetricName() string  { return "Drained" }
func (Remember) MetricName() string { return "Remember" }
func (Recall) MetricName() string   { return "Recall" }
func (Told) MetricName() string     { return "Told" }
func (Report) MetricName() string   { return "Report" }
