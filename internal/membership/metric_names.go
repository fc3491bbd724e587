package membership

// MetricName names a message or an output in metrics. Operators' dashboards use
// these names, so they stay when a type is renamed.

// Messages.
func (Tick) MetricName() string     { return "Tick" }
func (Heard) MetricName() string    { return "Heard" }
func (Versions) MetricName() string { return "Versions" }
func (Silent) MetricName() string   { return "Silent" }
func (Listed) MetricName() string   { return "Listed" }
func (Leave) MetricName() string    { return "Leave" }

// Outputs.
func (Send) MetricName() string    { return "Send" }
func (List) MetricName() string    { return "List" }
func (Reply) MetricName() string   { return "Reply" }
func (Changed) MetricName() string { return "Changed" }
func (Behind) MetricName() string  { return "Behind" }
