// Package scenario tests the whole program: entry VMs, targets and the
// platform's stand-in as separate processes on loopback, driven by the scripts
// in testdata.
//
// A script asserts safety at every moment, by its check command over the run
// logs of all targets, and progress under a generous deadline, never a speed.
//
// Commands beside those of testscript; ID is the name of a process:
//
//	platform [FLAG...]                 start the platform's stand-in
//	target ID SERVICE DOMAIN [FLAG...] start a target; it becomes part of later policies
//	vm ID DOMAIN [FILE]                start an entry VM; FILE adds settings
//	deploy NAME                        start the deployment common/NAME.deploy and wait until it serves
//	submit FILE... [ID.KEY=VALUE...]   submit a policy, to which all targets are added; of two that
//	                                   race, set WON and LOST to the file names
//	console FILE                       submit a policy through the forms of a console process
//	domain NAME in|out|lost            change the state of a failure domain
//	candidates DOMAIN N                wait until the term in force has N candidates
//	sigkill, sigstop, sigcont, sigterm, restart ID...
//	                                   send the signal, wait for exit code 0 after sigterm, start again
//	who VAR coordinator DOMAIN         set VAR to the VM that the log names
//	who VAR front TARGET               set VAR to the VM that sent the target's last run
//	who VAR plain-front DOMAIN ID      set VAR to a VM that is a front and isn't ID
//	fault ID NAME=VALUE...             set faults of a stand-in; those of the platform that
//	                                   are not named end
//	cold ID                            make a target cold without warning
//	overloads ID MAX                   check how often a cold target got more than it bears
//	cut A B, heal                      cut the links between two of: ID, DOMAIN, DOMAIN:vm, platform;
//	                                   heal all
//	served [via=ID,ID] [keys=N] REQUEST...
//	                                   wait until every key is answered by every VM
//	send ID REQUEST [id=ID] [body=TEXT] want=OUTCOME,OUTCOME
//	                                   send one request
//	load NAME for=TIME rate=N [via=ID,ID] [keys=N] REQUEST...
//	                                   start a load in the background
//	await NAME [want=OUTCOME,OUTCOME]  wait for a load; only these outcomes may occur
//	quiet ID...                        wait until targets begin no run for a second
//	http METHOD ID LISTENER PATH STATUS [BODY]
//	                                   send anything to callers, peers, operators or main
//	check                              check safety over all runs and answers so far
//
// A REQUEST is METHOD:PATH, in which {k} stands for a key. via=!ID stands for
// all running VMs but those named.
package scenario
