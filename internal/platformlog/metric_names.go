package platformlog

// MetricName names a message or an output in metrics. Operators' dashboards use
// these names, so they stay when a type is renamed.

// Messages.
func (Tick) MetricName() string       { return "Tick" }
func (PageRead) MetricName() string   { return "PageRead" }
func (ReadFailed) MetricName() string { return "ReadFailed" }
func (PeerState) MetricName() string  { return "PeerState" }

// Outputs.
func (Read) MetricName() string    { return "Read" }
func (Changed) MetricName() string { return "Changed" }
func (Fresh) MetricName() string   { return "Fresh" }
func (Skipped) MetricName() string { return "Skipped" }
func (Gap) MetricName() string     { return "Gap" }
func (Append) MetricName() string  { return "Append" }
func (Closed) MetricName() string  { return "Closed" }
