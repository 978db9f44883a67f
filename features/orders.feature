Feature: No order leaves running tasks or reserved capacity behind
  Orders are the starts and stops that the holder sends to workers. They are lost, late,
  refused or ignored, the holder is removed before its orders are carried out, or a
  worker runs a task that the cell does not know.

  Scenario: A cancelled job's runs end under the next holder
    # Guards against tasks that run on after the user's cancellation was confirmed: the
    # holder dies after storing the cancellation and before sending the stops. The next
    # holder orders a stop before it knows the worker, drops it and never repeats it.
    Given a cell of 3 instances and 4 workers
    And a lasting job "aa03" of 4 tasks is at work
    When the holder dies
    And the job "aa03" is cancelled at once
    Then no task of "aa03" runs 6 s later
    And no promise of the cell was broken

  Scenario: Orders that are carried out late do no harm
    # Guards against a task that runs twice: a start without an answer is given up, the
    # task starts elsewhere, and four seconds later the first start is carried out.
    Given a cell of 3 instances and 4 workers
    And one order in ten is carried out 4 s late
    When 6 jobs of 2 steps of 6 tasks are handed in
    And 25 s pass in the cell
    Then all jobs are shown as completed within 40 s
    And no promise of the cell was broken

  Scenario: A start without an answer is settled although the stop is refused
    # Guards against a task that waits forever beside free workers. Its start gets no
    # answer and the repeated start is refused, so the run has to be stopped before the
    # task starts elsewhere. The worker refuses the stop too. It never reports the run,
    # so no report triggers another stop.
    Given a cell of 3 instances and 4 workers
    When a job "ac08" of 1 steps of 4 tasks is handed in while no worker is reachable
    And 0.3 s pass in the cell
    And the workers are reached again but carry out no order
    And 1.5 s pass in the cell
    And the workers carry out orders again
    Then the job "ac08" is shown as completed within 6 s
    And no promise of the cell was broken

  Scenario: Capacity is released after a run was cancelled while its worker was cut off
    # Guards against jobs that wait beside empty workers. A run has to be stopped before
    # its start is answered, every attempt to send the stop is lost, and the run's
    # capacity stays reserved for as long as the worker's lease is renewed.
    Given a cell of 3 instances and 4 workers
    When a job "ac09" of 1 steps of 4 tasks is handed in while no worker is reachable
    And 0.3 s pass in the cell
    And the job "ac09" is cancelled at once
    And 5.5 s pass in the cell
    And the workers are reached again
    And a lasting job "ac10" of 4 tasks that take a whole worker each is handed in
    Then 4 tasks of "ac10" are at work within 6 s
    And no promise of the cell was broken

  Scenario Outline: A cancelled job's late start ends soon: starts 4 s late, stops <stops>
    # Guards against a task of a cancelled job that starts seconds after the
    # cancellation and runs on: its start gets no answer and is carried out late, and
    # the stop is carried out late as well, or never.
    Given a cell of 3 instances and 4 workers
    When starts are carried out 4 s late from now on
    And a lasting job "ad01" of 4 tasks is handed in
    And 0.3 s pass in the cell
    And stops <stops> from now on
    And the job "ad01" is cancelled at once
    And <lost_s> s pass in the cell
    And orders are carried out at once again
    Then no task of "ad01" runs 9 s later
    And no task of a cancelled job ran on
    And <runs> runs of "ad01" began late
    And no promise of the cell was broken
    And no capacity is reserved on any worker

    Examples:
      | stops                | lost_s | runs |
      | are lost             | 5      | 4    |
      | are refused as unwell | 5     | 4    |
      | are carried out late | 5      | 4    |
      | are lost             | 2      | 0    |

  Scenario Outline: A removed holder's late start ends soon: cancelled <when>
    # Guards against a task of a cancelled job that runs on. The holder sends the start
    # just before its machine is removed. The worker carries it out late, and the next
    # holder has to end the run.
    Given a cell of 3 instances and 4 workers
    When starts are carried out 1.9 s late from now on
    And a lasting job "ad02" of 4 tasks is handed in
    And 0.3 s pass in the cell
    And the holder dies
    And <before_s> s pass in the cell
    And the job "ad02" is cancelled at once
    Then no task of "ad02" runs 9 s later
    And another instance holds the cell within 1 s
    And 4 runs of "ad02" began late
    And no task of a cancelled job ran on
    And no promise of the cell was broken
    And no capacity is reserved on any worker

    Examples:
      | when                        | before_s |
      | before the next one begins  | 0.5      |
      | after the next one begins   | 4        |

  Scenario: A removed holder's cancellation is carried out by the next one
    # Guards against a task of a cancelled job that runs on: the holder stores the
    # cancellation, its stops are lost, and it is removed. For the next holder the job
    # is already cancelled, so a worker's report of a run of an ended job has to be
    # enough to stop the run.
    Given a cell of 3 instances and 4 workers
    When starts are carried out 1.9 s late from now on
    And a lasting job "ad04" of 4 tasks is handed in
    And 0.3 s pass in the cell
    And stops are lost from now on
    And the job "ad04" is cancelled at once
    And 0.3 s pass in the cell
    And the holder dies
    And orders are carried out at once again
    Then no task of "ad04" runs 9 s later
    And 4 runs of "ad04" began late
    And no task of a cancelled job ran on
    And no promise of the cell was broken

  Scenario: A stop that is lost is given again while the run is reported
    # Guards against tasks of a cancelled job that run on for as long as their leases
    # are renewed: every attempt to send the stop is lost.
    Given a cell of 3 instances and 4 workers
    And a lasting job "ad03" of 4 tasks is at work
    When stops are lost from now on
    And the job "ad03" is cancelled at once
    And 8 s pass in the cell
    And orders are carried out at once again
    Then no task of "ad03" runs 1.5 s later

  Scenario: A stop that changed nothing is given again while the run is reported
    # Guards against tasks of a cancelled job that run on for as long as their leases
    # are renewed: the worker answers the stop and does nothing.
    Given a cell of 3 instances and 4 workers
    And a lasting job "ad05" of 4 tasks is at work
    When stops are answered and ignored from now on
    And the job "ad05" is cancelled at once
    And 2 s pass in the cell
    And orders are carried out at once again
    Then no task of "ad05" runs 2 s later

  Scenario: A stop that is never answered leaves no capacity reserved
    # Guards against jobs that wait beside free workers. The start of a task is lost,
    # its job is cancelled, and every attempt to send the stop is lost as well. The
    # worker never reports the run, so no report triggers another stop, and the run's
    # capacity stays reserved until the holder changes.
    Given a cell of 3 instances and 4 workers
    When starts are lost from now on
    And a lasting job "ae01" of 4 tasks is handed in
    And 0.3 s pass in the cell
    And stops are lost from now on
    And the job "ae01" is cancelled at once
    And 7 s pass in the cell
    And orders are carried out at once again
    And 3 s pass in the cell
    Then no capacity is reserved on any worker

  Scenario: A task whose start and stop an unwell worker refused runs again
    # Guards against a task that never runs. Its start gets no answer, an unwell worker
    # refuses the second attempt, and also the stop that is to make the first one
    # harmless. If a refused stop is not repeated, the task counts as stopping forever.
    Given a cell of 3 instances and 4 workers
    When starts are lost from now on
    And a lasting job "ae02" of 4 tasks is handed in
    And 0.3 s pass in the cell
    And starts are refused as unwell from now on
    And stops are refused as unwell from now on
    And 3 s pass in the cell
    And orders are carried out at once again
    Then 4 tasks of "ae02" are at work within 5 s
    And no promise of the cell was broken

  Scenario: A run that the cell does not know is ended, and its capacity is counted
    # Guards against a task that runs although its job was cancelled or never submitted:
    # no instance knows the job, so the holder leaves the run alone, renews its lease
    # along with the others and gives its capacity to other tasks. The scenario starts
    # such a run directly on a worker.
    Given a cell of 3 instances and 4 workers
    When stops are answered and ignored from now on
    And a worker runs a task of an unknown job
    And 1 s pass in the cell
    And a job "ae03" of 1 steps of 32 tasks is handed in
    And 1 s pass in the cell
    And orders are carried out at once again
    Then that run is ended within 3 s
    And the job "ae03" is shown as completed within 15 s
    And no promise of the cell was broken
    And no capacity is reserved on any worker

  Scenario: The runs of a job that the cell has forgotten are ended
    # Guards against tasks that run on although their job no longer exists. A job is
    # dropped from the log while its tasks run: the holder fails on the next report, and
    # its successor leaves runs of unknown jobs alone. The scenario drops the job
    # directly.
    Given a cell of 3 instances and 4 workers
    And a lasting job "ae04" of 4 tasks is at work
    When the job "ae04" is dropped from the log
    Then no task of "ae04" runs 3 s later
    And the holder has not changed
    And no capacity is reserved on any worker

  Scenario: A cancelled task's earlier run ends although a newer one is allocated
    # Guards against a task of a cancelled job that runs on. A start that was given up
    # is carried out after all, on the worker where the task's next run is allocated and
    # has not begun. If only allocated runs are stopped, the stop of the earlier run is
    # dropped, and the stop of the next run does not end it. The scenario starts the
    # earlier run directly on the worker.
    Given a cell of 3 instances and 4 workers
    When starts are lost from now on
    And a lasting job "af01" of 1 tasks is handed in
    And 0.3 s pass in the cell
    And a worker runs an earlier attempt of a task of "af01" beside its newest
    And 1 s pass in the cell
    And the job "af01" is cancelled at once
    And orders are carried out at once again
    Then that run is ended within 4 s
    And no task of a cancelled job ran on
    And 3 s pass in the cell
    And no capacity is reserved on any worker

  Scenario: The next holder ends a cancelled job's runs before the first report
    # Guards against tasks that run on when a job is cancelled while the holder is being
    # replaced. The next holder knows from the log what to stop and where, but holds the
    # stops back until the worker has reported, and for a while its reports get no
    # answer.
    Given a cell of 3 instances and 4 workers
    And a lasting job "ag01" of 4 tasks is at work
    When reports are lost from now on
    And the holder dies
    And the job "ag01" is cancelled at once
    Then no task of "ag01" runs 3.4 s later
    When orders are carried out at once again
    And 3 s pass in the cell
    Then no capacity is reserved on any worker
    And no promise of the cell was broken

  Scenario: The next holder ends an ended job's runs before the first report
    # Guards against tasks of a cancelled job that run on. The holder stores the
    # cancellation and is removed before its stops get through. The next holder sends no
    # stop for a job that has ended early until a report lists the run.
    Given a cell of 3 instances and 4 workers
    And a lasting job "ag02" of 4 tasks is at work
    When stops are lost from now on
    And the job "ag02" is cancelled at once
    And 0.3 s pass in the cell
    And orders are carried out at once again
    And reports are lost from now on
    And the holder dies
    Then no task of "ag02" runs 3.4 s later
    When orders are carried out at once again
    And 3 s pass in the cell
    Then no capacity is reserved on any worker
    And no promise of the cell was broken

  Scenario: Stops that get lost are repeated by one loop each
    # Guards against an ever growing number of stops to a worker that answers none: each
    # report triggers another stop while an answer is outstanding, and each of these is
    # repeated until it is answered.
    Given a cell of 3 instances and 4 workers
    And a lasting job "ae01" of 4 tasks is at work
    When stops are lost from now on
    And the job "ae01" is cancelled at once
    And 20 s pass in the cell
    Then the holder sent at most 56 stops
    When orders are carried out at once again
    Then no task of "ae01" runs 6 s later

  Scenario: A job whose starts no worker has confirmed counts as waiting
    # Guards against a count of 12 while 46 jobs wait: the holder stores a start before it
    # sends it, and from then on the job no longer counted, whether a worker got it or not.
    Given a cell of 3 instances and 4 workers
    When a job "af12" of 1 steps of 2 tasks is handed in while no worker is reachable
    Then every instance counts 1 waiting job 2 s later
    When the workers are reached again
    Then every instance counts 0 waiting jobs 2 s later
