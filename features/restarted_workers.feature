Feature: Workers start again under the id that they had
  Such a worker knows nothing of before: it has no runs, ends or fencing token, and its
  counts and its clock start anew. ``born`` tells its incarnations apart.

  Scenario: An end that a worker lists after it started again counts
    # Guards against a task that runs again after its end was acknowledged unread.
    Given a cell of 3 instances and 2 workers
    When a job "ea01" of 2 steps of 6 tasks is handed in
    Then the job "ea01" is shown as completed within 8 s
    When every worker starts again under its id after 1 s
    And a job "ea02" of 2 steps of 6 tasks is handed in
    Then the job "ea02" is shown as completed within 12 s
    And no promise of the cell was broken
    And no task was started more often than needed

  Scenario: An end that no report has listed yet is not acknowledged
    # Guards against a task that runs again after its end was acknowledged unread: the
    # earlier incarnation's last end is acknowledged to the new one.
    Given a cell of 3 instances and 1 workers
    When a job "ec01" of 2 steps of 6 tasks is handed in
    Then the job "ec01" is shown as completed within 8 s
    Given tasks take 0.2 s
    When starts are carried out 0.5 s late from now on
    And a job "ec02" of 1 steps of 3 tasks is handed in
    And 0.1 s pass in the cell
    And reports are lost from now on
    And every worker starts again under its id after 0 s
    And 2.5 s pass in the cell
    And orders are carried out at once again
    Then the job "ec02" is shown as completed within 8 s
    And no promise of the cell was broken

  Scenario: A task that stopped on a worker that started again runs elsewhere
    # Guards against a task that counts as stopping for good, and never runs again.
    Given a cell of 3 instances and 3 workers that state no birth
    And workers that ignore acknowledgements of ends that are still to come
    When a job "eb01" of 2 steps of 9 tasks is handed in
    Then the job "eb01" is shown as completed within 8 s
    When every worker starts again under its id after 1 s
    And 3 s pass in the cell
    Given a lasting job "eb02" of 2 tasks is at work
    When a busy worker drains
    And 4 s pass in the cell
    Then 2 tasks of "eb02" are at work
    And nothing runs on the draining worker
    And no promise of the cell was broken
