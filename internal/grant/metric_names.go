package grant

// MetricName returns the name of a message or output in metrics. Operators'
// dashboards use these names, so they do not change when a type is renamed.

// Messages.
func (Tick) MetricName() string             { return "Tick" }
func (Assigned) MetricName() string         { return "Assigned" }
func (OrderDone) MetricName() string        { return "OrderDone" }
func (Drained) MetricName() string          { return "Drained" }
func (LoadMeasured) MetricName() string     { return "Measured" }
func (ReportDone) MetricName() string       { return "ReportDone" }
func (AddressesChanged) MetricName() string { return "AddressesChanged" }
func (StatusRequested) MetricName() string  { return "StatusAsked" }

// Outputs.
func (SendOrder) MetricName() string  { return "SendOrder" }
func (Changed) MetricName() string    { return "Changed" }
func (SendReport) MetricName() string { return "SendReport" }
func (SendStatus) MetricName() string { return "AnswerStatus" }
func (TargetLost) MetricName() string { return "Lost" }
func (Superseded) MetricName() string { return "Superseded" }
