package settings

import "time"

// Console holds the settings of the operators' console.
type Console struct {
	// Address is the listener for operators' browsers.
	Address string
	// Platform is the base URL of the platform.
	Platform string
	// Author is written into the records of submitted policies.
	Author string
	// StopTimeout bounds how long requests in flight may take at the stop.
	StopTimeout time.Duration
}

// LoadConsole reads and checks the settings of the console from a file's path
// or contents. The error is Faults, or wraps ErrSyntax.
func LoadConsole(source any) (Console, error) {
	r, err := newReader(source)
	if err != nil {
		return Console{}, err
	}
	c := Console{
		Address:     r.listener("listen", "console", anyPort),
		Platform:    r.base("platform", "address"),
		Author:      "console",
		StopTimeout: r.duration("stop", "timeout", 5*time.Second, 100*time.Millisecond, 10*time.Minute),
	}
	if r.has("console", "author") {
		c.Author = r.name("console", "author")
	} else {
		r.know("console", "author")
	}
	if err := r.finish(); err != nil {
		return Console{}, err
	}
	return c, nil
}
