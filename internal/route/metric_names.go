package route

// MetricName returns the name of a message or output in metrics. Operators'
// dashboards use these names, so they do not change when a type is renamed.

// Messages.
func (Tick) MetricName() string                { return "Tick" }
func (Lookup) MetricName() string              { return "Lookup" }
func (AttemptDone) MetricName() string         { return "Done" }
func (MapChanged) MetricName() string          { return "MapChanged" }
func (PolicyChanged) MetricName() string       { return "PolicyChanged" }
func (NewerStateRequested) MetricName() string { return "Newer" }
func (AddressesChanged) MetricName() string    { return "AddressesChanged" }
func (AddressRequested) MetricName() string    { return "AddressOf" }

// Outputs.
func (SendDecision) MetricName() string   { return "Answer" }
func (SendNewerState) MetricName() string { return "AnswerHeld" }
func (SendAddress) MetricName() string    { return "AnswerAddress" }
func (Changed) MetricName() string        { return "Changed" }
