package membership

// MetricName returns the name of a message or output in metrics. Operators'
// dashboards use these names, so they do not change when a type is renamed.

// Messages.
func (Tick) MetricName() string              { return "Tick" }
func (HeartbeatReceived) MetricName() string { return "Heard" }
func (VersionsChanged) MetricName() string   { return "Versions" }
func (HeartbeatFailed) MetricName() string   { return "Silent" }
func (VMsListed) MetricName() string         { return "Listed" }
func (Leave) MetricName() string             { return "Leave" }

// Outputs.
func (SendHeartbeat) MetricName() string      { return "Send" }
func (ListVMs) MetricName() string            { return "List" }
func (SendHeartbeatReply) MetricName() string { return "Reply" }
func (Changed) MetricName() string            { return "Changed" }
func (NewerStateFound) MetricName() string    { return "Behind" }
