Feature: Nothing starts on a worker that has become too small
  A worker's capacity may shrink and grow again while it runs. The worker states it in
  its entry of the list, and starts rely on that.

  Scenario: A start that waited for its answer is withdrawn from a worker that shrank
    # Guards against an overcommitted worker. A start is decided and gets no answer, the
    # worker shrinks to less than the task needs, and the same start is sent again until
    # it is carried out, seconds later. Capacity must be checked each time, not only
    # when the start is decided.
    Given a cell of 3 instances and 2 workers
    When a job "bb01" of 4 tasks that take 6 cores each is handed in while no worker is reached
    And 0.3 s pass in the cell
    And every worker shrinks to 8 cores
    And 5 s pass in the cell
    And the workers are reached again
    Then the job "bb01" is shown as completed within 40 s
    And no promise of the cell was broken

  Scenario: Nothing starts while the list of workers is too old
    # The list of workers cannot be read for 10 s, everything else can. The worker
    # shrinks meanwhile, no instance knows, and new tasks would fill it as before.
    Given a cell of 3 instances and 2 workers
    When the list of workers cannot be read by anyone
    And every worker shrinks to 8 cores
    And 5 s pass in the cell
    And a job "bb02" of 4 tasks that take 6 cores each is handed in
    And 3 s pass in the cell
    And the list of workers can be read again
    Then the job "bb02" is shown as completed within 40 s
    And no promise of the cell was broken

  Scenario: A start that waited is not sent again while the list of workers is too old
    # Both at once: the start has no answer, and the list that shows the smaller worker
    # cannot be read.
    Given a cell of 3 instances and 2 workers
    When a job "bb05" of 4 tasks that take 6 cores each is handed in while no worker is reached
    And the list of workers cannot be read by anyone
    And every worker shrinks to 8 cores
    And 5 s pass in the cell
    And the workers are reached again
    And 3 s pass in the cell
    And the list of workers can be read again
    Then the job "bb05" is shown as completed within 40 s
    And no promise of the cell was broken

  Scenario: A worker's room is not used while it is gone, and is used once it is back
    # Running tasks stay where they are, nothing is added while they need more than
    # there is, and the capacity is used as soon as it is back.
    Given a cell of 3 instances and 2 workers
    And a lasting job "bb03" of 4 tasks is at work
    When every worker shrinks to 4 cores
    And 5 s pass in the cell
    And a job "bb04" of 4 tasks that take 6 cores each is handed in
    And 4 s pass in the cell
    Then nothing of "bb04" has started
    And 4 tasks of "bb03" are at work within 1 s
    When every worker grows to 16 cores
    Then the job "bb04" is shown as completed within 10 s
    And no promise of the cell was broken
