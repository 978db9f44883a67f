Feature: What a worker has not reported yet is not known
  A worker reports what it runs, and the ends of its runs until they are acknowledged:
  500 of them in one report, the oldest first.

  Scenario Outline: The log names the run that ended, and says that it was released: <runs>
    # Guards against a second run of a task that nobody can find: the line about the end
    # named the newest run, whichever run had ended.
    Given a holder that has released a run of a task, and started it <starts>
    When the worker lists that the released run is done
    Then the log names run 1 as done, released, beside run <newest> as the newest

    Examples:
      | runs        | starts | newest |
      | waits again | once   | 1      |
      | runs again  | twice  | 2      |

  Scenario Outline: Ends that a report leaves out count once: <each> on each of <workers>, <holder>
    # Guards against tasks that run again although they are done: their ends come with a
    # later report, and the first one is taken for all that the worker has to say.
    Given a cell of 3 instances and <workers> workers with room for <each> tasks each
    And the workers are full of tasks of "ee01", and another worker joins
    When no worker is reached for 6 s, and the holder <holder>
    Then the job "ee01" is shown as completed within 10 s
    And no task was started more often than needed
    And no promise of the cell was broken

    Examples:
      | workers | each | holder |
      | 1       | 499  | dies   |
      | 1       | 500  | dies   |
      | 1       | 501  | dies   |
      | 1       | 501  | stays  |
      | 1       | 1000 | stays  |
      | 1       | 1001 | dies   |
      | 3       | 700  | dies   |
      | 3       | 700  | stays  |

  Scenario Outline: A report of <count> ends is known to be all of them: <complete>
    # Guards against a report that is taken for all that a worker has to say, although
    # it lists as many ends as it can.
    Given a worker that answers a report with <count> ends
    When its report is requested
    Then the report has <count> ends, and that they are all is known: <complete>

    Examples:
      | count | complete |
      | 0     | yes      |
      | 499   | yes      |
      | 500   | no       |

  Scenario: Nothing starts on a worker before all its ends are known
    # Guards against decisions on a worker of which a part is known.
    Given a holder whose worker has 501 runs that are done and room for 1 more
    And another task waits
    When the worker lists 500 ends and leaves out the others
    Then no run is released, and nothing starts
    And it is asked for its next report 0 s later, and does not wait for an end
    When the worker lists the other 1 ends
    Then all 501 tasks are done, and 1 task starts

  Scenario: A run whose end was left out has not crashed its worker
    # Guards against jobs that are given up because a worker was lost after its tasks
    # had ended, and before it listed their ends.
    Given a holder whose worker has 501 runs that are done and room for 1 more
    When the worker lists 500 ends and leaves out the others
    And the worker is lost
    Then 1 task waits for a worker, and no crash counts against it

  Scenario: A run whose end was left out may start late on the next incarnation
    # Guards against a task that crashes a worker and is not counted: the worker starts
    # again, and a late copy of the start counts as ended there.
    Given a holder whose worker has 501 runs that are done and room for 1 more
    When the worker lists 500 ends and leaves out the others
    And the worker starts again under its id
    Then 1 run is booked on it that may have begun

  Scenario: A worker that lists the same ends again and again counts as silent
    # Guards against tasks that wait for good: the worker never lists the ends that it
    # has left out, so their runs are released when its lease is over.
    Given a holder whose worker has 501 runs that are done and room for 1 more
    When the worker lists 500 ends and leaves out the others
    And it lists the same ends for 1.5 s
    Then the worker does not count as silent
    And it is asked for its next report 0.3 s later, and does not wait for an end
    When it lists the same ends for 1.5 s
    Then the worker counts as silent, and its lease is not extended
    When it lists the same ends for 11 s
    Then 1 task waits for a worker, and no crash counts against it
    And nothing starts

  Scenario: A worker waits for the store to take its ends without counting as silent
    # Guards against leases that expire because the store is slow: the worker lists the
    # same ends until their acknowledgement is stored.
    Given a holder whose worker has 501 runs that are done and room for 1 more
    When the worker lists 500 ends and leaves out the others
    And it lists the same ends for 8 s while they are not stored
    Then the worker does not count as silent

  Scenario: A worker that closes each connection does not keep its tasks
    # Guards against tasks that wait for good. Over a new connection no end is
    # acknowledged, so the worker never lists those that it has left out.
    Given a cell of 3 instances and 2 workers with room for 501 tasks each
    And the workers are full of tasks of "ee03"
    When one worker closes its connection after each report
    Then the job "ee03" is shown as completed within 30 s
    And no promise of the cell was broken

  Scenario Outline: A random walk in which reports leave out ends, seed <seed>
    # Guards against ends that are left out beside other faults: the holder dies, orders
    # are lost, the store is away, workers shrink, drain and are lost.
    Given a random walk with reports of 2 ends and seed <seed>
    Then no promise of the cell was broken
    And every accepted job reached a final status
    And no worker's room is still occupied

    Examples:
      | seed   |
      | 931000 |
      | 931001 |
