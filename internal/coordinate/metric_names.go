package coordinate

// MetricName names a message or an output in metrics. Operators' dashboards use
// these names, so they stay when a type is renamed.

// Messages.
func (Tick) MetricName() string            { return "Tick" }
func (LogChanged) MetricName() string      { return "LogChanged" }
func (LogFresh) MetricName() string        { return "LogFresh" }
func (ViewChanged) MetricName() string     { return "ViewChanged" }
func (MapHeard) MetricName() string        { return "MapHeard" }
func (PromiseAsked) MetricName() string    { return "PromiseAsked" }
func (PromiseAnswered) MetricName() string { return "PromiseAnswered" }
func (Inspected) MetricName() string       { return "Inspected" }
func (AppendDone) MetricName() string      { return "AppendDone" }
func (Reported) MetricName() string        { return "Reported" }
func (StatusAsked) MetricName() string     { return "StatusAsked" }

// Outputs.
func (Append) MetricName() string       { return "Append" }
func (Publish) MetricName() string      { return "Publish" }
func (AskPromise) MetricName() string   { return "AskPromise" }
func (GivePromise) MetricName() string  { return "GivePromise" }
func (Inspect) MetricName() string      { return "Inspect" }
func (AnswerReport) MetricName() string { return "AnswerReport" }
func (AnswerStatus) MetricName() string { return "AnswerStatus" }
func (RoleChanged) MetricName() string  { return "RoleChanged" }
