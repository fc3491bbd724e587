package grant

// MetricName names a message or an output in metrics. Operators' dashboards use
// these names, so they stay when a type is renamed.

// Messages.
func (Tick) MetricName() string             { return "Tick" }
func (Assigned) MetricName() string         { return "Assigned" }
func (OrderDone) MetricName() string        { return "OrderDone" }
func (Drained) MetricName() string          { return "Drained" }
func (Measured) MetricName() string         { return "Measured" }
func (ReportDone) MetricName() string       { return "ReportDone" }
func (AddressesChanged) MetricName() string { return "AddressesChanged" }
func (StatusAsked) MetricName() string      { return "StatusAsked" }

// Outputs.
func (SendOrder) MetricName() string    { return "SendOrder" }
func (Changed) MetricName() string      { return "Changed" }
func (SendReport) MetricName() string   { return "SendReport" }
func (AnswerStatus) MetricName() string { return "AnswerStatus" }
func (Lost) MetricName() string         { return "Lost" }
func (Superseded) MetricName() string   { return "Superseded" }
