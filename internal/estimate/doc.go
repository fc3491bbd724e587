// Package estimate holds the small estimators that the front and route duties
// use: latency with quantiles, and the most frequent keys of a stream. The
// types are plain state for one goroutine.
package estimate
