// Package estimate provides the streaming estimators of the front and route
// duties: latency mean and quantiles, and the most frequent keys. The types are
// not safe for concurrent use.
package estimate
