// Package settings reads the INI settings of a process. All faults of a file
// are reported together, and a setting that isn't known is a fault.
package settings
