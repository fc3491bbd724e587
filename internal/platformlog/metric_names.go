package platformlog

// MetricName returns the name of a message or output in metrics. Dashboards
// depend on these names, so they must not change when a type is renamed.

// Messages.
func (Tick) MetricName() string       { return "Tick" }
func (PageRead) MetricName() string   { return "PageRead" }
func (ReadFailed) MetricName() string { return "ReadFailed" }
func (PeerState) MetricName() string  { return "PeerState" }

// Outputs.
func (Read) MetricName() string           { return "Read" }
func (StateChanged) MetricName() string   { return "Changed" }
func (CaughtUp) MetricName() string       { return "Fresh" }
func (Skipped) MetricName() string        { return "Skipped" }
func (GapFound) MetricName() string       { return "Gap" }
func (AppendSnapshot) MetricName() string { return "Append" }
func (GapClosed) MetricName() string      { return "Closed" }
