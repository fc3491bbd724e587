package front

// The MetricName methods return the names of messages and outputs in metrics.
// Dashboards use these names, so they must not change when a type is renamed.

// Messages.
func (Tick) MetricName() string            { return "Tick" }
func (Submit) MetricName() string          { return "Submit" }
func (Finished) MetricName() string        { return "Finished" }
func (GrantChanged) MetricName() string    { return "GrantChanged" }
func (Assigned) MetricName() string        { return "Assigned" }
func (RememberDone) MetricName() string    { return "Remembered" }
func (RecallDone) MetricName() string      { return "Recalled" }
func (RecallRequested) MetricName() string { return "Tell" }

// Outputs.
func (SendDecision) MetricName() string        { return "Answer" }
func (Drained) MetricName() string             { return "Drained" }
func (SendRememberRequest) MetricName() string { return "Remember" }
func (SendRecallRequest) MetricName() string   { return "Recall" }
func (SendRecallReply) MetricName() string     { return "Told" }
func (Report) MetricName() string              { return "Report" }
