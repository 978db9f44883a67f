Feature: A task that crashes its workers is given up, and nobody else's
  Some tasks bring down each worker that starts them, with all that runs there. They are
  started a few times more, never for good.

  Scenario: A task that crashes each worker that starts it is given up
    # Users see their work lost again and again: one task of a job brings each worker down
    # as it starts. Its run ends with the worker, counts as no attempt, and the task is
    # started again at once, on the next worker.
    Given a cell of 3 instances and 6 workers
    And a lasting job "ba01" of 6 tasks is at work
    When a job "ba02" of 6 tasks is handed in, of which task 0 crashes its workers
    Then the job "ba02" is shown as failed within 20 s
    And 6 tasks of "ba01" are at work within 6 s
    And at most 4 workers crashed
    And no promise of the cell was broken

  Scenario: What is known of a crashing task survives its holders
    # The same, and each time the worker goes, so does the holder: the next one reads how
    # often the task ran, not under how many of these runs a worker crashed.
    Given a cell of 3 instances and 6 workers
    When a job "ba03" of 6 tasks is handed in, of which task 0 crashes its workers
    And the holder dies soon after each crash, 4 times
    Then the job "ba03" is shown as failed within 40 s
    And no promise of the cell was broken
