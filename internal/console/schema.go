package console

// field describes a key of a section and its input in the form.
type field struct {
	Key  string
	Hint string
	// Choices, if set, makes the input a list; the empty choice stands for the
	// default.
	Choices []string
	// Limit puts the field into the group of limits.
	Limit bool
}

// kind describes a kind of section.
type kind struct {
	Heading string
	Hint    string
	named   bool
	fields  []field
	// free is set for sections with keys of the form service.limit, which can't
	// be listed in fields.
	free bool
}

// kindOrder is the order of the kinds on the overview page.
var kindOrder = []string{"deployment", "control", "service", "target", "route", "deviation", "branch"}

var yesNo = []string{"", "yes", "no"}

var kinds = map[string]kind{
	"deployment": {Heading: "Deployment", fields: []field{
		{Key: "name"},
		{Key: "failure_domains", Hint: "names, separated by commas"},
	}},
	"control": {Heading: "Control", Hint: "Limits of the system's own decisions.", fields: []field{
		{Key: "candidates", Hint: "VMs that may succeed a coordinator"},
		{Key: "witnesses", Hint: "VMs that keep a copy of a front's request ids"},
		{Key: "remember", Hint: "how long a request id is remembered, such as 10m"},
		{Key: "moves_in_flight", Hint: "ranges that may move at a time"},
		{Key: "move_threshold", Hint: "share above the mean load for which ranges move"},
		{Key: "move_after", Hint: "how long that excess must last"},
		{Key: "hot_share", Hint: "share of a target's capacity above which a key is hot"},
		{Key: "hot_keys", Hint: "greatest number of hot keys in a failure domain"},
	}},
	"service": {Heading: "Services", Hint: "Groups of targets, and their limits.", named: true, fields: []field{
		{Key: "division", Hint: "key: each key has one owner", Choices: []string{"", "key", "none"}},
		{Key: "ranges", Hint: "number of ranges that the keys are divided into"},
		{Key: "isolation", Hint: "what happens to ranges whose holder is cut off", Choices: []string{"", "keep", "yield"}},
		{Key: "timeout", Hint: "deadline of a request, such as 1s", Limit: true},
		{Key: "queue_length", Hint: "requests that wait for a target, for each class", Limit: true},
		{Key: "hold_time", Hint: "how long requests wait for a range that moves", Limit: true},
		{Key: "retry_budget", Hint: "share of requests that may be retries", Limit: true},
		{Key: "hedge_budget", Hint: "share of idempotent requests that may be hedges", Limit: true},
		{Key: "cold_slots", Hint: "requests that a cold target gets at a time", Limit: true},
		{Key: "ramp_step", Hint: "successes until a cold target's limit doubles", Limit: true},
		{Key: "body_bytes", Hint: "greatest body of a request", Limit: true},
		{Key: "caller_share", Hint: "share of a queue that one caller may fill", Limit: true},
	}},
	"target": {Heading: "Targets", Hint: "Servers that own keys.", named: true, fields: []field{
		{Key: "service"},
		{Key: "failure_domain"},
		{Key: "address", Hint: "IP:port"},
		{Key: "slots", Hint: "requests that it runs at a time"},
		{Key: "connections"},
		{Key: "checks_grants", Hint: "no: the target takes orders from anybody", Choices: yesNo},
		{Key: "leaving", Hint: "yes: the target gets no new work", Choices: yesNo},
		{Key: "speed", Hint: "weight of its slots against those of others"},
	}},
	"route": {Heading: "Routes", Hint: "Which requests go to which service.", named: true, fields: []field{
		{Key: "method", Choices: []string{"", "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"}},
		{Key: "path", Hint: "such as /slots/{slot}"},
		{Key: "service"},
		{Key: "class", Choices: []string{"", "payment", "cancellation", "booking", "lookup"}},
		{Key: "idempotent", Hint: "yes: the request may run more than once", Choices: yesNo},
		{Key: "key", Hint: "path:name, query:name or header:name"},
		{Key: "missing_id", Hint: "what happens without an Idempotency-Key", Choices: []string{"", "assign", "refuse"}},
	}},
	"deviation": {
		Heading: "Deviation bounds", free: true,
		Hint: "How far a branch may deviate: a key service.limit with the bounds MIN .. MAX.",
	},
	"branch": {
		Heading: "Branches", named: true, free: true,
		Hint: "Overrides of one branch: a key service.limit with a value within the deviation bounds.",
	},
}
