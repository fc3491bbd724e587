package witness

// The MetricName methods return the names of messages and outputs in metrics.
// Dashboards use these names, so they must not change when a type is renamed.

// Messages.
func (Tick) MetricName() string              { return "Tick" }
func (RememberRequested) MetricName() string { return "Remember" }
func (RecallRequested) MetricName() string   { return "Recall" }
func (SetRetention) MetricName() string      { return "Keep" }

// Outputs.
func (SendRememberReply) MetricName() string { return "AnswerStored" }
func (SendRecallReply) MetricName() string   { return "AnswerMemory" }
