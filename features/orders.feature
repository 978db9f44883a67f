Feature: No order leaves work behind, whatever became of it
  Starts and stops that are lost, late, refused or ignored, holders that are removed before
  theirs are carried out, and runs that the cell does not know.

  Scenario: A cancelled job's runs end under the next holder
    # A user cancels, gets the answer, and the task works on. The holder dies with the
    # cancellation stored and the stop not sent. The next holder ordered the stop before it
    # knew the worker, dropped the order, and never gave it again.
    Given a cell of 3 instances and 4 workers
    And a lasting job "aa03" of 4 tasks is at work
    When the holder dies
    And the job "aa03" is cancelled at once
    Then nothing of "aa03" runs 6 s later
    And no promise of the cell was broken

  Scenario: Orders that are carried out late do no harm
    # A user would see a task run twice: a start without an answer is given up, the task
    # starts elsewhere, and four seconds later the first order is carried out.
    Given a cell of 3 instances and 4 workers
    And one order in ten is carried out 4 s late
    When 6 jobs of 2 steps of 6 tasks are handed in
    And 25 s pass in the cell
    Then all jobs are shown as completed within 40 s
    And no promise of the cell was broken

  Scenario: A start whose fate is open is settled although the stop is refused
    # A check waits for good beside free workers. Its start got no answer, the next try was
    # refused, so the run is to be stopped before it is tried elsewhere, and the worker
    # refuses that too. It never lists the run, and nobody tells it again.
    Given a cell of 3 instances and 4 workers
    When a job "ac08" of 1 steps of 4 tasks is handed in while no worker is reached
    And 0.3 s pass in the cell
    And the workers are reached again but carry out no order
    And 1.5 s pass in the cell
    And the workers carry out orders again
    Then the job "ac08" is shown as completed within 6 s
    And no promise of the cell was broken

  Scenario: Room comes back from a run that was cancelled while its worker was cut off
    # Jobs wait beside empty workers. A run was to be stopped before its start was answered,
    # every try of the stop was lost, and its room stays booked for as long as the worker's
    # lease is renewed.
    Given a cell of 3 instances and 4 workers
    When a job "ac09" of 1 steps of 4 tasks is handed in while no worker is reached
    And 0.3 s pass in the cell
    And the job "ac09" is cancelled at once
    And 5.5 s pass in the cell
    And the workers are reached again
    And a lasting job "ac10" of 4 tasks that take a whole worker each is handed in
    Then 4 tasks of "ac10" are at work within 6 s
    And no promise of the cell was broken

  Scenario Outline: A cancelled job's late start ends soon: starts 4 s late, stops <stops>
    # A user cancels, and a task of the job begins seconds later and works on: its start
    # had no answer and was carried out late, and so was, or never, the stop.
    Given a cell of 3 instances and 4 workers
    When starts are carried out 4 s late from now on
    And a lasting job "ad01" of 4 tasks is handed in
    And 0.3 s pass in the cell
    And stops <stops> from now on
    And the job "ad01" is cancelled at once
    And <lost_s> s pass in the cell
    And orders are carried out at once again
    Then nothing of "ad01" runs 9 s later
    And no task of a cancelled job ran on
    And <runs> runs of "ad01" began late
    And no promise of the cell was broken
    And no room is taken on any worker

    Examples:
      | stops                | lost_s | runs |
      | are lost             | 5      | 4    |
      | are refused as unwell | 5     | 4    |
      | are carried out late | 5      | 4    |
      | are lost             | 2      | 0    |

  Scenario Outline: A removed holder's late start ends soon: cancelled <when>
    # A user cancels, and a task works on whose start the holder sent just before its
    # machine was removed. The worker carries it out late, and the next holder has to end it.
    Given a cell of 3 instances and 4 workers
    When starts are carried out 1.9 s late from now on
    And a lasting job "ad02" of 4 tasks is handed in
    And 0.3 s pass in the cell
    And the holder dies
    And <before_s> s pass in the cell
    And the job "ad02" is cancelled at once
    Then nothing of "ad02" runs 9 s later
    And another instance holds the cell within 1 s
    And 4 runs of "ad02" began late
    And no task of a cancelled job ran on
    And no promise of the cell was broken
    And no room is taken on any worker

    Examples:
      | when                        | before_s |
      | before the next one begins  | 0.5      |
      | after the next one begins   | 4        |

  Scenario: A removed holder's cancellation is carried out by the next one
    # A user cancels, and a task works on: the holder stored that the job is cancelled, its
    # stops were lost, and it was removed. To the next holder nothing is left to cancel; that
    # the worker reports a run of an ended job must be enough.
    Given a cell of 3 instances and 4 workers
    When starts are carried out 1.9 s late from now on
    And a lasting job "ad04" of 4 tasks is handed in
    And 0.3 s pass in the cell
    And stops are lost from now on
    And the job "ad04" is cancelled at once
    And 0.3 s pass in the cell
    And the holder dies
    And orders are carried out at once again
    Then nothing of "ad04" runs 9 s later
    And 4 runs of "ad04" began late
    And no task of a cancelled job ran on
    And no promise of the cell was broken

  Scenario: A stop that is lost is given again while the run is reported
    # A user cancels, and the tasks work on for as long as their leases are renewed: every
    # try of the stop was lost.
    Given a cell of 3 instances and 4 workers
    And a lasting job "ad03" of 4 tasks is at work
    When stops are lost from now on
    And the job "ad03" is cancelled at once
    And 8 s pass in the cell
    And orders are carried out at once again
    Then nothing of "ad03" runs 1.5 s later

  Scenario: A stop that changed nothing is given again while the run is reported
    # A user cancels, and the tasks work on for as long as their leases are renewed: the
    # worker answered the stop and did nothing.
    Given a cell of 3 instances and 4 workers
    And a lasting job "ad05" of 4 tasks is at work
    When stops are answered and ignored from now on
    And the job "ad05" is cancelled at once
    And 2 s pass in the cell
    And orders are carried out at once again
    Then nothing of "ad05" runs 2 s later

  Scenario: A stop that nobody answers leaves no room taken
    # A user's jobs wait beside free workers. The start of a task is lost, its job is
    # cancelled, and every try of the stop is lost as well. The worker never lists the run,
    # so no report repeats the stop, and the run's room is kept until the holder changes.
    Given a cell of 3 instances and 4 workers
    When starts are lost from now on
    And a lasting job "ae01" of 4 tasks is handed in
    And 0.3 s pass in the cell
    And stops are lost from now on
    And the job "ae01" is cancelled at once
    And 7 s pass in the cell
    And orders are carried out at once again
    And 3 s pass in the cell
    Then no room is taken on any worker

  Scenario: A task whose start and stop an unwell worker refused runs again
    # A user's watcher never runs. Its start has no answer, the second try is refused by an
    # unwell worker, and so is the stop that is to make the first one harmless. A refused
    # stop was not given again, and the task counted as being stopped for good.
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

  Scenario: A run that the cell does not know is ended and takes room
    # A user cancels or never asked, and a task works on: no instance knows its job, so the
    # holder left the run alone, renewed its lease with the others', and gave its room away.
    # Shown by a run put on a worker by hand.
    Given a cell of 3 instances and 4 workers
    When stops are answered and ignored from now on
    And a worker runs a task of a job that nobody knows
    And 1 s pass in the cell
    And a job "ae03" of 1 steps of 32 tasks is handed in
    And 1 s pass in the cell
    And orders are carried out at once again
    Then that run is ended within 3 s
    And the job "ae03" is shown as completed within 15 s
    And no promise of the cell was broken
    And no room is taken on any worker

  Scenario: The runs of a job that the cell has forgotten are ended
    # A user's job is gone and its tasks work on. A job was dropped from the log while its
    # tasks ran: the holder broke on the next report, and its successor left runs of jobs
    # that it does not know alone. Shown by dropping the job by hand.
    Given a cell of 3 instances and 4 workers
    And a lasting job "ae04" of 4 tasks is at work
    When the job "ae04" is dropped from the log
    Then nothing of "ae04" runs 3 s later
    And the holder is the same
    And no room is taken on any worker

  Scenario: A cancelled task's earlier start ends although a newer one is booked
    # A user cancels, and a task works on. An order that was given up is carried out after
    # all, on the worker where the task's next run is booked and has not begun. Its stop was
    # dropped, as only booked runs are stopped, and the next run's stop does not end it.
    # Shown by an earlier run put on the worker by hand.
    Given a cell of 3 instances and 4 workers
    When starts are lost from now on
    And a lasting job "af01" of 1 tasks is handed in
    And 0.3 s pass in the cell
    And a worker runs an earlier start of a task of "af01" beside its newest
    And 1 s pass in the cell
    And the job "af01" is cancelled at once
    And orders are carried out at once again
    Then that run is ended within 4 s
    And no task of a cancelled job ran on
    And 3 s pass in the cell
    And no room is taken on any worker

  Scenario: The next holder ends a cancelled job's runs before the first report
    # A user cancels while the holder is being replaced, and the tasks work on. The next
    # holder knows from the log what to stop and where, but kept the stops until the worker
    # had reported, and its reports have no answers for a while.
    Given a cell of 3 instances and 4 workers
    And a lasting job "ag01" of 4 tasks is at work
    When reports are lost from now on
    And the holder dies
    And the job "ag01" is cancelled at once
    Then nothing of "ag01" runs 3.4 s later
    When orders are carried out at once again
    And 3 s pass in the cell
    Then no room is taken on any worker
    And no promise of the cell was broken

  Scenario: The next holder ends an ended job's runs before the first report
    # A user cancels, and the tasks work on. The holder stored that the job is cancelled and
    # was removed before its stops got through; the next one gave no stop for a job that
    # had ended before its time, until a report listed the run.
    Given a cell of 3 instances and 4 workers
    And a lasting job "ag02" of 4 tasks is at work
    When stops are lost from now on
    And the job "ag02" is cancelled at once
    And 0.3 s pass in the cell
    And orders are carried out at once again
    And reports are lost from now on
    And the holder dies
    Then nothing of "ag02" runs 3.4 s later
    When orders are carried out at once again
    And 3 s pass in the cell
    Then no room is taken on any worker
    And no promise of the cell was broken

  Scenario: Stops that get lost are repeated by one loop each
    # A worker that answers no stop gets ever more of them: reports repeat a stop whose
    # answer is late, and each repetition goes on until it is answered.
    Given a cell of 3 instances and 4 workers
    And a lasting job "ae01" of 4 tasks is at work
    When stops are lost from now on
    And the job "ae01" is cancelled at once
    And 20 s pass in the cell
    Then the holder sent at most 56 stops
    When orders are carried out at once again
    Then nothing of "ae01" runs 6 s later
