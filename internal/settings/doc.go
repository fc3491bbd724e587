// Package settings reads and checks the INI settings of a process. All faults
// of a file are reported together, each with its section, key and reason. A
// section or key that isn't known, a key given twice and a value that doesn't
// parse are faults; a default applies only to a key that is absent.
// docs/SETTINGS.md lists every setting.
package settings
