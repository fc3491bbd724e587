package settings

import "time"

// Console holds the settings of the operators' console.
type Console struct {
	// Address is the listen address for operators' browsers.
	Address string
	// Platform is the base URL of the platform.
	Platform string
	// Author is the author in the records of submitted policies.
	Author string
	// StopTimeout limits the wait for requests in flight during a shutdown.
	StopTimeout time.Duration
}

// LoadConsole loads and validates the settings of the console from a file's path
// or contents. The error is of type Issues, or wraps ErrSyntax.
func LoadConsole(source any) (Console, error) {
	r, err := newReader(source)
	if err != nil {
		return Console{}, err
	}
	c := Console{
		Address:     r.listener("listen", "console", anyPort),
		Platform:    r.baseURL("platform", "address"),
		Author:      "console",
		StopTimeout: r.duration("stop", "timeout", 5*time.Second, 100*time.Millisecond, 10*time.Minute),
	}
	if r.has("console", "author") {
		c.Author = r.name("console", "author")
	} else {
		r.markKnown("console", "author")
	}
	if err := r.finish(); err != nil {
		return Console{}, err
	}
	return c, nil
}
