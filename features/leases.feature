Feature: The next holder knows when the lease of a silent worker is over
  A holder stores how long each silent worker's lease may still last. Nobody may extend such
  a lease before a record without the worker is stored, and who takes over counts by it.

  Scenario: A worker that is back is granted nothing that the record does not say
    # A user sees a task run twice. Its worker was silent, the holder stored when its lease is
    # over, the worker came back and was granted more, and the holder died before it stored
    # that. The next holder starts the task elsewhere when the record says, while it runs.
    Given a holder with a worker of 4 tasks that has fallen silent
    When the holder has stored when the lease is over
    And the worker reports again 1.5 s later
    Then its lease is not extended
    But it is extended once a record without it is stored

  Scenario: A record that may be stored counts as stored
    # The same, but the store has not answered yet when the worker comes back: the record
    # may be read by the next holder all the same.
    Given a holder with a worker of 4 tasks that has fallen silent
    When the holder has sent when the lease is over, without an answer
    And the worker reports again 1.5 s later
    Then its lease is not extended

  Scenario: A new holder counts by the record, and without one from its own beginning
    # A lasting job is short of its tasks for a whole lease more than it must be.
    Given a holder with a worker of 4 tasks that has fallen silent
    When the holder has stored when the lease is over
    And another holder begins 3 s later and does not reach the worker
    Then the 4 tasks wait for a worker again when the record says
    And a holder that has not read the record waits for them 3 s longer at least

  Scenario: A holder that takes over names the worker until it has heard from it
    # The record of the holder before would be followed by one that names nobody, and the
    # third holder would wait for a whole lease again.
    Given a holder with a worker of 4 tasks that has fallen silent
    When the holder has stored when the lease is over
    And another holder begins 1 s later and does not reach the worker
    Then its first record names the worker, with less time left
