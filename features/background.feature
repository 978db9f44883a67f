Feature: No part of an instance ends unnoticed
  Parts of an instance run as tasks that nobody awaits. An error that ends one of them is
  logged at once, with its place.

  Scenario: The error that ends work in the background is logged
    # Guards against an instance of which a part is dead, while its log says nothing.
    Given work in the background that ends by an error
    Then one line "background: failed" names the work and the error

  Scenario: The term of a holder that no longer follows the list of workers ends
    # Guards against a holder that starts nothing any more, keeps the cell and says that
    # it is ready.
    Given a cell of 3 instances and 4 workers
    When the holder's reader of the list of workers is to end by an error
    And "w0" writes its entry again
    And 4 s pass in the cell
    And a job "ba01" of 2 steps of 4 tasks is handed in
    Then the job "ba01" is shown as completed within 25 s
    And the holder's term is a later one
    And a line "holder: task failed" names "Follower.run" and the error
    And no promise of the cell was broken

  Scenario: Work in the background that is cancelled or done is no failure
    Given work in the background that is cancelled, and some that is done
    Then no failure is logged

  Scenario: The error of a callback is logged
    # Guards against errors of callbacks and connections that only reach standard error,
    # which nobody collects.
    Given a callback that ends by an error
    Then one line "loop: error" has the error

  Scenario Outline: A process ends when <part> has ended by an error
    # Guards against an instance that says it is ready while a part of it is dead.
    Given a process of which <part> ends by an error
    Then the process ends with 1 within 5 s
    And a line "background: failed" names "<part>" and the error

    Examples:
      | part              |
      | instance          |
      | requests of peers |
      | log               |

  Scenario: An instance of the own interface ends when a part of it has failed
    # Guards against an instance that keeps its workers and jobs while it no longer reads
    # the log, so that none of its peers takes them over.
    Given an entry instance whose reader of a log ends by an error
    Then the process ends with 1 within 5 s
    And a line "background: failed" names "_fail" and the error
