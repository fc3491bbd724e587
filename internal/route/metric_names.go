package route

// MetricName names a message or an output in metrics. Operators' dashboards use
// these names, so they stay when a type is renamed.

// Messages.
func (Tick) MetricName() string             { return "Tick" }
func (Lookup) MetricName() string           { return "Lookup" }
func (Done) MetricName() string             { return "Done" }
func (MapChanged) MetricName() string       { return "MapChanged" }
func (PolicyChanged) MetricName() string    { return "PolicyChanged" }
func (Newer) MetricName() string            { return "Newer" }
func (AddressesChanged) MetricName() string { return "AddressesChanged" }
func (AddressOf) MetricName() string        { return "AddressOf" }

// Outputs.
func (Answer) MetricName() string        { return "Answer" }
func (AnswerHeld) MetricName() string    { return "AnswerHeld" }
func (AnswerAddress) MetricName() string { return "AnswerAddress" }
func (Changed) MetricName() string       { return "Changed" }
