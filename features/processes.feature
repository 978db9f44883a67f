Feature: The whole path as separate processes
  The stand-ins for the platform run in one process and two entry instances in two more;
  they and the command line communicate over loopback sockets.

  Scenario: Operators and callers use the command line, and an instance is killed
    Given the stand-ins with 4 workers, and 2 entry instances as processes
    When the command "plan add-service checks --team dispatch --out service.json" is run
    Then it exits with 0 and prints "Nothing has changed"
    When the command "confirm service.json" is run
    Then it exits with 0 and prints "In force at offset 0"
    When the command "request checks" is run
    Then it exits with 0 and prints "digest"
    When the command "submit archive --tasks 3 --run-s 0.2" is run
    Then it exits with 0 and prints "Accepted archive"
    When the command "plan drain rack brno-r0 --out drain.json" is run
    Then it exits with 0 and prints "gets no new work"
    When the command "confirm drain.json" is run
    Then it exits with 0 and prints "In force at offset 1"
    When the command "plan evacuate brno --out evacuate.json" is run
    Then it exits with 0 and prints "what runs there runs on"
    When the command "config history" is run
    Then it exits with 0 and prints "applied"
    When the command "plan drain rack nowhere --out none.json" is run
    Then it exits with 3 and prints "names no worker"
    When the command "explain nothing/0" is run
    Then it exits with 3 and prints "no task"
    When the second entry instance is killed
    Then the first manages all 4 workers
    When the command "request checks" is run
    Then it exits with 0 and prints "digest"
    When the first entry instance gets SIGTERM
    Then it exits with 0 by itself
    When the command "status" is run
    Then it exits with 5 and prints "cannot reach"

  # Guards against an instance that is told to stop twice and does not report the
  # requests that it cut off.
  Scenario: A second SIGTERM aborts requests in flight and reports it
    Given the stand-ins with 1 workers whose requests take 60 s, and one instance
    When a request is in flight
    And the first entry instance gets SIGTERM
    And it still runs
    And the first entry instance gets SIGTERM
    Then it exits with 3 by itself

  Scenario: A forwarded request leaves a span for each hop
    Given the stand-ins with 2 workers, and 2 entry instances that write traces
    When a request under a key of the first is sent to the second with its trace context
    And both instances are stopped
    Then the spans caller.request, entry.forward and worker.run are nested in this order

  Scenario: The daemon checks and shows its settings
    When the daemon is run with "check-settings" on settings with two faults
    Then it exits with 2 and prints "instance_id"
    And it prints "spare"
    When the daemon is run with "show-settings" on good settings
    Then it exits with 0 and prints "authority_s"
    And it does not print the operators' token

  Scenario: SIGHUP during startup does not terminate an instance
    # Guards against termination by SIGHUP before the signal handler is set.
    Given an instance process that is importing its modules
    When it gets SIGHUP
    Then it completes its startup
