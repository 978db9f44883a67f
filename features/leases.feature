Feature: The next holder knows when the lease of a silent worker expires
  A holder stores how long each silent worker's lease may still last. Nobody may extend
  such a lease before a record without the worker is stored, and a new holder relies on
  the record.

  Scenario: A worker that reports again gets no longer lease than the record says
    # Guards against duplicate runs of a task. Its worker falls silent, the holder
    # stores when its lease expires, the worker reports again and is granted more, and
    # the holder dies before it stores that. The next holder would start the task
    # elsewhere at the recorded time, while it still runs.
    Given a holder with a worker of 4 tasks that has fallen silent
    When the holder has stored when the lease expires
    And the worker reports again 1.5 s later
    Then its lease is not extended
    But it is extended once a record without it is stored

  Scenario: A record that may be stored counts as stored
    # As above, but the store has not answered yet when the worker reports again: the
    # next holder may read the record all the same.
    Given a holder with a worker of 4 tasks that has fallen silent
    When the holder has sent when the lease expires, without an answer
    And the worker reports again 1.5 s later
    Then its lease is not extended

  Scenario: A new holder counts by the record, and without one from its own start
    # Guards against a lasting job that lacks its tasks for a whole lease longer than
    # necessary.
    Given a holder with a worker of 4 tasks that has fallen silent
    When the holder has stored when the lease expires
    And another holder begins 3 s later and does not reach the worker
    Then the 4 tasks wait for a worker again when the record says
    And a holder that has not read the record waits at least 3 s longer for them

  Scenario: A holder that takes over names the worker until it has heard from it
    # Otherwise the previous holder's record would be followed by one that names no
    # worker, and the third holder would wait for a whole lease again.
    Given a holder with a worker of 4 tasks that has fallen silent
    When the holder has stored when the lease expires
    And another holder begins 1 s later and does not reach the worker
    Then its first record names the worker, with less time left

  Scenario: A worker that answers now and then keeps its lease
    # Guards against tasks that end, or run a second time elsewhere, although their worker
    # could be renewed: each answer is followed by the next silence, before a request that
    # waits for an end with the old deadline comes back.
    Given a cell of 3 instances and 1 workers
    And a lasting job "ee01" of 4 tasks is at work
    When the workers are out of reach but for 0.3 s from an answer, 6 times
    And 1 s pass in the cell
    Then no run was lost to an expired lease
    And no task was started more often than 1 time
    And no promise of the cell was broken
