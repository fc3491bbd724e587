// Package console is the operators' web interface: HTML forms that edit the
// policy document. It works without scripts. The console is stateless: the
// draft is carried in the forms, and the version in force is read from the
// log.
package console
