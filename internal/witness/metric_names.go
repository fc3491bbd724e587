package witness

// MetricName names a message or an output in metrics. Operators' dashboards use
// these names, so they stay when a type is renamed.

// Messages.
func (Tick) MetricName() string     { return "Tick" }
func (Remember) MetricName() string { return "Remember" }
func (Recall) MetricName() string   { return "Recall" }
func (Keep) MetricName() string     { return "Keep" }

// Outputs.
func (AnswerStored) MetricName() string { return "AnswerStored" }
func (AnswerMemory) MetricName() string { return "AnswerMemory" }
