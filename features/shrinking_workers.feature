Feature: Nothing starts on a worker that holds less by now
  A worker's room may shrink and grow again while it runs. It says so in its entry of the
  list; what starts counts on that.

  Scenario: A start that waited for its answer is withdrawn from a worker that shrank
    # Users of the machine see it overrun: a start was decided and got no answer, the worker
    # shrank to less than it needs, and the same start was sent again until it was carried
    # out, seconds later. Room was looked at when the start was decided, and not again.
    Given a cell of 3 instances and 2 workers
    When a job "bb01" of 4 tasks that take 6 cores each is handed in while no worker is reached
    And 0.3 s pass in the cell
    And every worker shrinks to 8 cores
    And 5 s pass in the cell
    And the workers are reached again
    Then the job "bb01" is shown as completed within 40 s
    And no promise of the cell was broken

  Scenario: Nothing starts by a list that is too old to trust
    # The list of workers cannot be read for 10 s, everything else can. The worker shrinks
    # meanwhile, nobody here knows, and new tasks fill it as before.
    Given a cell of 3 instances and 2 workers
    When the list of workers cannot be read by anyone
    And every worker shrinks to 8 cores
    And 5 s pass in the cell
    And a job "bb02" of 4 tasks that take 6 cores each is handed in
    And 3 s pass in the cell
    And the list of workers can be read again
    Then the job "bb02" is shown as completed within 40 s
    And no promise of the cell was broken

  Scenario: A start that waited is not sent again by a list that is too old
    # Both at once: the start has no answer, and that its worker shrank cannot be read.
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

  Scenario: What a worker gives back is used, and what it holds again as well
    # Tasks that run stay where they are, nothing is added while they need more than there
    # is, and the room is used as soon as it is back.
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
