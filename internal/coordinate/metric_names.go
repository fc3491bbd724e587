package coordinate

// MetricName returns the name of a message or output in metrics. Operators'
// dashboards use these names, so they do not change when a type is renamed.

// Messages.
func (Tick) MetricName() string             { return "Tick" }
func (LogChanged) MetricName() string       { return "LogChanged" }
func (LogFresh) MetricName() string         { return "LogFresh" }
func (ViewChanged) MetricName() string      { return "ViewChanged" }
func (MapReceived) MetricName() string      { return "MapHeard" }
func (PromiseRequested) MetricName() string { return "PromiseAsked" }
func (PromiseDone) MetricName() string      { return "PromiseAnswered" }
func (InspectDone) MetricName() string      { return "Inspected" }
func (AppendDone) MetricName() string       { return "AppendDone" }
func (ReportReceived) MetricName() string   { return "Reported" }
func (StatusRequested) MetricName() string  { return "StatusAsked" }

// Outputs.
func (Append) MetricName() string             { return "Append" }
func (Publish) MetricName() string            { return "Publish" }
func (SendPromiseRequest) MetricName() string { return "AskPromise" }
func (SendPromiseReply) MetricName() string   { return "GivePromise" }
func (Inspect) MetricName() string            { return "Inspect" }
func (SendReportReply) MetricName() string    { return "AnswerReport" }
func (SendStatus) MetricName() string         { return "AnswerStatus" }
func (RoleChanged) MetricName() string        { return "RoleChanged" }
