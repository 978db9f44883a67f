Feature: Requests, jobs and operator plans end to end
  Urgent requests are answered, batch jobs finish, and operators' plans are carried out.

  Scenario: A request is served through any instance
    Given 3 entry instances and 4 workers
    And a service "checks" that is "exclusive"
    When a caller sends a request to each instance
    Then each caller gets the complete answer to its own request

  Scenario: A job's tasks all finish once
    Given 3 entry instances and 4 workers
    When a job "archive" of 40 tasks of 1 s is submitted to "e0"
    Then the job "archive" is done within 20 s
    And no promise was broken

  # Guards against jobs that never continue after their instance died: an owner dies,
  # and its peers keep renewing their promise not to take its jobs over, although they
  # no longer receive its heartbeats.
  Scenario: Another instance finishes the jobs of one that died
    Given 3 entry instances and 4 workers
    And a job "archive" of 20 tasks of 3 s is submitted to "e1"
    When 1 s pass
    And instance "e1" dies
    Then the job "archive" is done within 30 s
    And no promise was broken

  Scenario: A job that can never run is refused at once, with the reason
    Given 2 entry instances and 2 workers
    When a job "huge" whose tasks need 9000 CPU millis is submitted to "e0"
    Then the submission is not run because "never_fits: cpu_millis"

  Scenario: Nothing changes before a plan is confirmed
    Given 3 entry instances and 4 workers
    And a service "checks" that is "exclusive"
    And a job "archive" of 16 tasks of 9 s is submitted to "e0"
    And all 16 attempts run
    When an operator plans at "e1" to drain the rack "r0"
    And 2 s pass
    Then no attempt was stopped
    When the operator confirms the plan at "e1"
    Then the plan is in force
    And the workers "w0 w1" are empty within 5 s
    And exactly the attempts that the plan named were stopped
    And the job "archive" is done within 40 s
    And no promise was broken

  # Guards against a confirmed drain that stops work that its plan did not name: a plan
  # is made, more tasks start in the rack, and the plan is confirmed.
  Scenario: A plan that would now stop more than it listed is refused
    Given 3 entry instances and 4 workers
    And a job "archive" of 4 tasks of 30 s is submitted to "e0"
    And all 4 attempts run
    When an operator plans at "e1" to drain the rack "r0"
    And a job "more" of 20 tasks of 30 s is submitted to "e2"
    And all 24 attempts run
    And the operator confirms the plan at "e1"
    Then the plan is refused because "it would now also stop"
    And no attempt was stopped

  # Guards against two conflicting changes in force: both operators plan from the same
  # configuration, then both confirm. One of them has to be told that the other came
  # first.
  Scenario: Of two operators who race, exactly one wins
    Given 3 entry instances and 4 workers
    When operators plan at "e0" and at "e1" to add services that share workers
    And both confirm their plans at once
    Then exactly one plan is in force and the other was refused for "changed"

  Scenario: A confirmation whose answer was lost takes effect once
    Given 3 entry instances and 4 workers
    And a service "checks" that is "exclusive"
    When the log service loses its answers
    And an operator plans at "e1" to drain the rack "r0"
    And the operator confirms the plan at "e1"
    And the log service is well again
    And the operator confirms the plan at "e1"
    Then the plan is in force once

  # Guards against tasks that start in a data centre that is being evacuated, and
  # against tasks that are ended there.
  Scenario: Nothing new starts in an evacuated data centre, and what runs there runs on
    Given 3 entry instances and 4 workers
    And a service "checks" that is "exclusive"
    And a job "archive" of 4 tasks of 9 s is submitted to "e0"
    And all 4 attempts run
    When an operator plans at "e1" to evacuate the data centre
    Then the plan stops nothing
    When the operator confirms the plan at "e1"
    Then the plan is in force
    When a job "late" of 4 tasks of 1 s is submitted to "e2"
    And 10 s pass
    Then the job "archive" is done within 10 s
    And no attempt was stopped
    And at most 4 attempts began
    And "status" and "explain" say that "late" waits for the data centre
    When an operator takes the data centre back at "e2"
    Then the job "late" is done within 10 s
    And no promise was broken

  Scenario: A data centre that nobody knows is not evacuated
    Given 2 entry instances and 2 workers
    When an operator plans at "e0" to evacuate "nowhere"
    Then the intent is refused because "names no worker in data centre nowhere"
