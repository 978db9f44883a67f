Feature: A failed run is held against whoever is at fault
  A run fails by the fault of its worker or of its task. Workers that fail what they are
  given are set aside for 6 s; a task that can never be done must not have that effect.

  Scenario: One job that can never be done sets no worker aside
    # Guards against a cell of sound workers of which none takes a task, because each has
    # just failed tasks of one and the same job.
    Given a cell of 3 instances and 4 workers
    When a job "b001" of 8 tasks is handed in, two on each worker, that can never be done
    And 2.5 s pass in the cell
    Then the holder may use 4 workers
    When a job "b002" of 1 steps of 6 tasks is handed in
    Then the job "b002" is shown as completed within 4 s
    And the job "b001" is shown as failed within 8 s
    And no promise of the cell was broken

  Scenario: A job that can never be done waits for no worker beside free room
    # Guards against the same job with nothing at work for 6 s after each attempt, beside
    # free workers.
    Given a cell of 3 instances and 4 workers
    When a job "b003" of 8 tasks is handed in, two on each worker, that can never be done
    Then it has nothing at work for less than 3 s until it is over

  Scenario: Tasks of a sound job that always fail set no worker aside for long
    # Guards against the same effect of a job of which only some tasks can't be done.
    Given a cell of 3 instances and 6 workers
    When a job "b004" of 8 tasks is handed in, of which 4 can never be done
    And 5 s pass in the cell
    Then the holder may use 6 workers
    And no promise of the cell was broken

  Scenario: A worker that fails all that it starts is set aside after two failures
    # Guards against tasks that a sick worker takes and fails, one after the other.
    Given a cell of 3 instances and 4 workers
    And one worker fails every attempt
    And the holder's decisions are watched
    When a job "b005" of 1 steps of 12 tasks is handed in
    And a job "b006" of 1 steps of 12 tasks is handed in
    Then the job "b005" is shown as completed within 20 s
    And the job "b006" is shown as completed within 20 s
    And that worker was set aside as soon as it had failed two tasks
    And no sound worker was set aside

  Scenario: A worker that fails is set aside beside a job that can never be done
    # Guards against a sick worker that is taken for sound, as a job at fault has failed
    # there too.
    Given a cell of 3 instances and 6 workers
    And one worker fails every attempt
    When a job "b007" of 8 tasks is handed in, two on each worker, that can never be done
    And 8 jobs of 1 steps of 6 tasks are handed in
    Then all jobs but "b007" are shown as completed within 25 s
    And no sound worker was set aside for longer than 2 s

  Scenario: A job is deleted between the failure of its tasks and the next decision
    # Guards against a holder that ends because a job has no longer the steps of which
    # tasks have failed.
    Given a cell of 3 instances and 4 workers
    And each job is deleted and handed in anew in the moment in which a task of it fails
    When a job "b00a" of 8 tasks is handed in, two on each worker, that can never be done
    And 3 s pass in the cell
    Then the holder goes on

  Scenario: Tasks of minutes that are reported in whole percents run on
    # Guards against sound runs that are stopped as standing still, each few seconds and
    # without end, and against workers that are set aside for them.
    Given a cell of 3 instances and 4 workers
    And its workers report whole percents
    When a job "b008" of 8 tasks of 400 s is handed in, with an estimate of 400 s
    And 20 s pass in the cell
    Then 8 tasks of "b008" are at work
    And no run was stopped
    And the holder may use 4 workers

  Scenario: Tasks of minutes without an estimate are stopped once at most
    # Guards against the same where nothing tells how long the tasks take.
    Given a cell of 3 instances and 4 workers
    And its workers report whole percents
    When a job "b009" of 8 tasks of 400 s is handed in, with an estimate of 0 s
    And 40 s pass in the cell
    Then 8 tasks of "b009" are at work
    And at most 8 runs were stopped
    And the holder may use 4 workers
