// Package settings loads and validates the INI settings of a process. All issues
// of a file are reported together, each with its section, key and reason.
// Unknown sections and keys, duplicate keys and invalid values are issues; a
// default applies only to an absent key.
// docs/SETTINGS.md lists every setting.
package settings
