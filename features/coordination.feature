Feature: Ownership, state and configuration survive crashes, pauses and partitions
  Real entry instances in virtual time. Leases last 4 s, an owner's authority lasts 1 s,
  and a peer is suspected after 0.8 s of silence.

  # Guards against an archive job whose finished tasks run a second time: the owner
  # starts tasks and is cut off from its peers and the log; the tasks finish and only
  # the owner learns of it; a peer takes the job over. That all leases have expired does
  # not tell how the tasks ended.
  Scenario: Finished work of an owner that was cut off is not run again
    Given 3 entry instances and 4 workers
    And a job "archive" of 8 tasks of 2 s is submitted to "e0"
    When 0.5 s pass
    And "e0" is cut off from its peers and from the log
    And 40 s pass
    And all links are healed
    Then the job "archive" is done within 60 s
    And no promise was broken

  # Guards against a task that runs on two workers: the owner is paused with orders not
  # yet sent; a peer takes its jobs over and starts the tasks again; the owner resumes
  # and goes on where it was.
  Scenario Outline: An owner that is paused for <pause_s> s does no harm
    Given 3 entry instances and 4 workers
    And a job "archive" of 40 tasks of 2 s is submitted to "e0"
    When <before_s> s pass
    And instance "e0" is paused
    And <pause_s> s pass
    And instance "e0" goes on
    Then the job "archive" is done within 90 s
    And no promise was broken

    Examples:
      | before_s | pause_s |
      | 0.02     | 0.9     |
      | 0.1      | 3       |
      | 0.5      | 8       |
      | 2.1      | 30      |

  Scenario Outline: Two owners that cannot hear each other, <way>
    Given 3 entry instances and 4 workers
    And a job "archive" of 20 tasks of 1 s is submitted to "e0"
    And a job "reports" of 20 tasks of 1 s is submitted to "e1"
    When "e0" and "e1" are cut off from each other <way>
    And 20 s pass
    And all links are healed
    Then the job "archive" of 20 tasks is done within 60 s
    And the job "reports" of 20 tasks is done within 60 s
    And no promise was broken

    Examples:
      | way         |
      | both ways   |
      | in one way  |

  Scenario: All instances die at once and come back
    Given 3 entry instances and 4 workers
    And a job "archive" of 30 tasks of 3 s is submitted to "e1"
    When 1.5 s pass
    And all instances die
    And 2 s pass
    And all instances start anew
    Then the job "archive" is done within 90 s
    And no promise was broken

  Scenario: A worker that dies and leaves the list loses its tasks to others
    Given 3 entry instances and 4 workers
    And a job "archive" of 24 tasks of 3 s is submitted to "e0"
    When 1 s pass
    And the worker "w1" dies and leaves the list
    Then the job "archive" is done within 60 s
    And no promise was broken

  # Guards against accepted work that stops when the log service does.
  Scenario: The log service is down for minutes
    Given 3 entry instances and 4 workers
    And a service "checks" that is "exclusive"
    And a job "archive" of 60 tasks of 2 s is submitted to "e0"
    When 1 s pass
    And the log service is down
    And 300 s pass
    Then every task of "archive" has run
    And a request through "e1" is done
    And a job submitted to "e1" is not run or unknown
    When the log service is well again
    Then the job "archive" is recorded as over within 30 s
    And at most 30 appends were made since
    And no promise was broken

  Scenario: An owner dies while the log service is down
    Given 3 entry instances and 4 workers
    And a job "archive" of 20 tasks of 2 s is submitted to "e0"
    When 1 s pass
    And the log service is down
    And instance "e0" dies
    And 30 s pass
    And the log service is well again
    Then the job "archive" is done within 60 s
    And no promise was broken

  # Guards against a finished job's reports that are made a second time: tasks finish
  # while the log is down, and their owner dies before their ends are recorded. The
  # workers must not be told to forget the ends before that.
  Scenario: An owner dies before the ends of its tasks are recorded
    Given 3 entry instances and 4 workers
    And a job "archive" of 12 tasks of 1 s is submitted to "e0"
    When 0.5 s pass
    And the log service is down
    And 6 s pass
    And instance "e0" dies
    And the log service is well again
    Then the job "archive" is recorded as over within 60 s
    And no promise was broken

  Scenario: A job submitted while answers of the log are lost is accepted once
    Given 3 entry instances and 4 workers
    When the log service loses its answers
    And a job "archive" of 4 tasks of 1 s is submitted to "e0"
    And a job "archive" of 4 tasks of 1 s is submitted to "e1"
    Then the job "archive" is done within 30 s
    And no promise was broken

  Scenario: A plan is carried out although the instance that confirmed it dies
    Given 3 entry instances and 4 workers
    And a job "archive" of 16 tasks of 9 s is submitted to "e0"
    And all 16 attempts run
    When an operator plans at "e1" to drain the rack "r0"
    And the operator confirms the plan at "e1"
    And instance "e1" dies
    Then the workers "w0 w1" are empty within 12 s
    And the job "archive" is done within 90 s
    And no promise was broken

  Scenario: An instance that starts while the log is down learns from a peer
    Given 3 entry instances and 4 workers
    And a service "checks" that is "exclusive"
    When the log service is down
    And instance "e2" dies
    And instance "e2" starts anew
    And 3 s pass
    Then a request through "e2" is done
    And all instances have the same configuration

  Scenario: An instance that knows no configuration serves nothing
    Given 3 entry instances and 4 workers
    And a service "checks" that is "exclusive"
    When the log service is down
    And instance "e2" dies
    And "e2" is cut off from its peers and from the log
    And instance "e2" starts anew
    And 3 s pass
    Then a request through "e2" is not run for "no_configuration"

  # Guards against a drained rack that gets tasks again although nobody ended the drain:
  # an instance misses changes, its peers go on, then all are connected again.
  Scenario: A configuration never reverts after an instance was cut off
    Given 3 entry instances and 4 workers
    And a service "checks" that is "exclusive"
    When "e2" is cut off from its peers and from the log
    And an operator plans at "e1" to drain the rack "r0"
    And the operator confirms the plan at "e1"
    And 20 s pass
    And all links are healed
    And 3 s pass
    Then all instances have the same configuration
    And the rack "r0" is drained everywhere

  # Guards against a long archive job that vanishes after a month: a long job is
  # accepted, more records follow than the log keeps, and then every instance is
  # replaced.
  Scenario: A long job survives after the log has dropped its acceptance
    Given 3 entry instances and 4 workers
    And the log keeps only 30 records of each stream
    And a job "archive" of 3 tasks of 60 s is submitted to "e0"
    When 60 short jobs are submitted in turn
    Then the log no longer has the acceptance of "archive"
    When all instances die
    And 2 s pass
    And all instances start anew
    Then the job "archive" of 3 tasks is done within 200 s
    And no promise was broken

  # Guards against a new instance that knows only the last changes after a month: more
  # changes are made than the log keeps, and then an instance starts.
  Scenario: A new instance reads the snapshot when old records have expired
    Given entry instances that snapshot every 10 records, and a log that keeps 25
    And a service "checks" that is "exclusive"
    When a limit is changed 60 times
    And instance "e2" dies
    And "e2" is cut off from its peers
    And instance "e2" starts anew
    And 3 s pass
    Then all instances have the same configuration
    And a request through "e2" is done
