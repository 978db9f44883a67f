Feature: A holder keeps up with a large cell
  A holder with limited CPU time and file descriptors polls thousands of workers.
  Simulated with fewer workers and a higher cost per report.

  Scenario: Reports of idle workers do not delay task starts
    # Guards against idle reports delaying the list of workers until it is too old.
    Given a large cell of 100 workers with an idle report rate of 25 per second
    And reading a report takes the holder 10 ms
    When 10 s pass in the cell
    And 5 jobs of 2 steps of 6 tasks are handed in
    Then all jobs are shown as completed within 10 s
    And no promise of the cell was broken

  Scenario: A holder keeps the cell while all workers report for the first time
    # Guards against a new holder losing the cell while it connects to all workers.
    Given a large cell of 100 workers with a limit of 4 concurrent first reports
    And reading a report takes the holder 30 ms
    When the holder dies
    Then another instance holds the cell within 4 s
    And the same instance still holds the cell 8 s later

  Scenario: A long pause between idle reports does not delay the end of a task
    # Guards against a step that notices the end of a task only after an idle pause.
    Given a large cell of 20 workers with an idle report rate of 1 per second
    When 10 s pass in the cell
    And a job "ac01" of 3 steps of 4 tasks is handed in
    Then the job "ac01" is shown as completed within 7 s
    And no promise of the cell was broken

  Scenario: A worker's last end is acknowledged before the idle pause
    # Guards against losing a stored end whose worker goes down during the idle pause.
    Given a large cell of 20 workers with an idle report rate of 1 per second
    When 10 s pass in the cell
    And a job "ac11" of 1 steps of 4 tasks is handed in
    Then the job "ac11" is shown as completed within 3 s
    And no worker still lists an end 0.5 s later

  Scenario: Connections to many workers stay within a shared limit
    # Guards against idle worker connections exhausting the process's file descriptors.
    Given 6 HTTP servers
    When each server receives 3 concurrent calls under a shared limit of 8 connections
    Then every call gets a response
    And at most 8 connections remain open

  Scenario: A non-evictable connection stays open at the shared limit
    # Guards against opening a new connection for every report of an idle worker.
    Given 6 HTTP servers
    And a non-evictable client of another server under a shared limit of 8 connections
    When the client makes a call before and after 3 concurrent calls to each HTTP server
    Then both calls of the client use the same connection

  Scenario: A step is placed without ranking every worker
    # Guards against decision time that grows in proportion to the number of workers.
    Given 3000 workers of 16 cores
    When 20 urgent jobs of 4 tasks of 2 cores are submitted
    Then all urgent jobs finish within 3 s
    And no ranking included more than 600 workers

  Scenario: A step finds the few workers with free capacity in a large cell
    # Guards against a step that waits while workers outside the sample have capacity.
    Given 1200 workers of 16 cores
    And lasting tasks of 16 cores occupy all but 2 workers
    When 1 urgent job of 16 tasks of 2 cores is submitted
    Then all urgent jobs finish within 3 s

  Scenario: Tasks in a large cell are distributed over its workers
    # Guards against fillers that concentrate on some workers while others are idle.
    Given 1200 workers of 16 cores
    When 150 filler jobs of 8 tasks of 8 cores are submitted over 15 s
    Then no started task waited longer than 0.3 s

  Scenario: The tasks of a busy cell survive the replacement of all instances
    # Guards against reports of busy workers that take all time of a new holder.
    Given a cell of 60 workers with the costs of 3000
    When the case "takeover-all" is played
    Then no job with room waited 3 s without a task at work
    And no lasting task was away for 9 s
    And the holder stored within 1.5 s at all times

  Scenario: The tasks of a busy cell survive the death of the holder
    # Guards against a successor that reads reports too late to renew the leases.
    Given a cell of 60 workers with the costs of 3000
    When the case "takeover-kill" is played
    Then no job with room waited 3 s without a task at work
    And no lasting task was away for 9 s
    And the list of workers was at most 2.4 s old

  Scenario: A busy cell recovers from a short suspension of its holder
    # Guards against a backlog of reports that never shrinks again.
    Given a cell of 60 workers with the costs of 3000
    When the case "busy-suspended" is played
    Then no job with room waited 3 s without a task at work
    And no lasting task was away for 9 s
    And the list of workers was at most 2.4 s old

  Scenario: A busy cell survives the restart of all its workers
    # Guards against first reports of new incarnations that make the holder lose the cell.
    Given a cell of 60 workers with the costs of 3000
    When the case "worker-restarts" is played
    Then no job with room waited 3 s without a task at work
    And no lasting task was away for 9 s
    And the list of workers was at most 2.4 s old
    And the holder stored within 1.5 s at all times

  Scenario: Long decisions leave time for orders and reports
    # Guards against decisions in a full cell that follow each other without a pause.
    Given a cell of 60 workers with the costs of 3000 and reports of 0 ms
    When the case "full-100" is played
    Then no job with room waited 3 s without a task at work
    And the list of workers was at most 2.4 s old

  Scenario: More starts than a holder can send leave time for records and reports
    # Guards against a burst of starts whose answers are all read too late.
    Given a cell of 60 workers with the costs of 3000
    When the case "busy-short-3000" is played
    Then the list of workers was at most 2.4 s old
    And the holder stored within 1.5 s at all times

  Scenario: The pending count is right while holders of a busy cell die
    # Guards against a count that leaves out jobs whose starts no worker has confirmed.
    Given a cell of 60 workers with the costs of 3000
    When the case "takeovers-kill" is played
    Then the pending count was never under half

  Scenario: A holder that shuts down costs no lease of a busy cell
    # Guards against reports so far apart that the next holder renews leases too late.
    Given a cell of 60 workers with the costs of 3000
    When the case "takeover-stop" is played
    Then no run ended because a lease expired

  Scenario: Fillers beside the serving tasks of a busy cell cost no lease
    # Guards against reports without a limit where fillers are paced.
    Given a cell of 60 workers with the costs of 3000
    When the case "busy-fillers" is played
    Then no run ended because a lease expired
    And the list of workers was at most 2.4 s old

  Scenario: A step of thousands of tasks leaves time for records and reports
    # Guards against a limit on starts that one wide step passes over.
    Given a cell of 60 workers with the costs of 3000
    When the case "wide-step" is played
    Then the list of workers was at most 2.4 s old
    And the holder stored within 1.5 s at all times

  Scenario: Tasks over their target without fillers beside them cost no lease
    # Guards against frequent reports of workers on which nothing can be paced.
    Given a cell of 60 workers with the costs of 3000
    When the case "over-target" is played
    Then no run ended because a lease expired
    And the holder stored within 1.5 s at all times

  Scenario: A silent worker has as long to answer as any other
    # Guards against workers behind a slow link whose answers all count as too late.
    Given a large cell of 4 workers with an idle report rate of 100 per second
    When a worker is out of the holder's reach for 5 s
    Then it was asked for reports with the usual wait all the time
