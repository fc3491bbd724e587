// Package scenario contains end-to-end tests: entry VMs, targets and the stand-in
// platform run as separate processes on loopback, driven by the scripts in
// testdata.
//
// A script asserts safety with its check command, which covers the run logs of
// all targets, and progress within a generous timeout. It never asserts speed.
//
// Commands in addition to those of testscript; ID is the name of a process:
//
//	platform [FLAG...]                 start the stand-in platform
//	target ID SERVICE DOMAIN [FLAG...] start a target; policies submitted later include it
//	vm ID DOMAIN [FILE]                start an entry VM; FILE has additional settings
//	deploy NAME                        start the deployment common/NAME.deploy and wait until it serves
//	submit FILE... [ID.KEY=VALUE...]   submit a policy, to which all targets are added; two files are
//	                                   submitted concurrently, and WON and LOST set to their names
//	console FILE                       submit a policy through the forms of a console process
//	domain NAME in|out|lost            change the state of a failure domain
//	candidates DOMAIN N                wait until the coordinator's term in force has N candidates
//	sigkill, sigstop, sigcont, sigterm, restart ID...
//	                                   send a signal (sigterm also waits for exit code 0), or start again
//	who VAR coordinator DOMAIN         set VAR to the coordinator according to the log
//	who VAR front TARGET               set VAR to the VM that sent the request of the target's last run
//	who VAR plain-front DOMAIN ID      set VAR to a VM other than ID that is a front
//	fault ID NAME=VALUE...             set the faults that a stand-in injects; faults of the platform
//	                                   that are not named are reset
//	cold ID                            make a target cold without an announcement
//	overloads ID MAX                   check that a cold target was over its limit at most MAX times
//	cut A B, heal                      create a network partition between two of: ID, DOMAIN,
//	                                   DOMAIN:vm, platform; remove all partitions
//	served [via=ID,ID] [keys=N] REQUEST...
//	                                   wait until every VM answers every REQUEST for every key
//	send ID REQUEST [id=ID] [body=TEXT] want=OUTCOME,OUTCOME
//	                                   send one request and check its outcome
//	load NAME for=TIME rate=N [via=ID,ID] [keys=N] REQUEST...
//	                                   start background traffic of N requests per second
//	await NAME [want=OUTCOME,OUTCOME]  wait for the end of a load; only these outcomes may occur
//	quiet ID...                        wait until the targets have started no run for a second
//	pause TIME                         wait for the given time
//	http METHOD ID LISTENER PATH STATUS [BODY]
//	                                   send a request to the listener callers, peers, operators or
//	                                   main, and check the status
//	check                              check safety over all runs and results so far
//
// A REQUEST is METHOD:PATH, where {k} is replaced by a key. via=!ID selects all
// running VMs except those named.
package scenario
