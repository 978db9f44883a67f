Feature: A cell schedules from the log, whoever holds it
  Real instances in simulated time, on stand-ins of the log service and of workers that
  judge what they are told.

  Scenario: A job's steps run in order and callers see it done
    Given a cell of 3 instances and 4 workers
    When a job "aa01" of 2 steps of 6 tasks is handed in
    Then the job "aa01" is shown as completed within 8 s
    And no promise of the cell was broken

  Scenario: Eight instances that claim at once find one holder
    # A user would see tasks stopped and started over and over. All instances start within
    # a moment and claim at the same offset. With one producer name for all, the log
    # answered every claim like the first, and each instance believed that it had won.
    Given a cell of 8 instances and 4 workers
    When 5 s pass in the cell
    Then exactly 1 instance believes that it holds the cell

  Scenario: Work that runs goes on under the next holder
    # A user would see a check run in two places. A job was accepted long ago, its task runs,
    # and the holder dies. The next one counted the lease of the inherited attempt from the
    # job's acceptance, took it for lapsed, and started the task again beside the first run.
    Given a cell of 3 instances and 4 workers
    And tasks take 25 s
    When a job "aa02" of 1 steps of 3 tasks is handed in
    And 15 s pass in the cell
    And the holder dies
    Then another instance holds the cell within 4 s
    And the job "aa02" is shown as completed within 40 s
    And no promise of the cell was broken
    And no task was started more often than needed

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

  Scenario Outline: The store turns the holder away: <how>
    # A user would see nothing start. The store serves everybody but the holder, which can
    # store no order; it must stop giving any and another instance must go on.
    Given a cell of 3 instances and 4 workers
    When a job "aa04" of 3 steps of 4 tasks is handed in
    And 1 s pass in the cell
    And the store <how> for the holder only
    Then another instance holds the cell within 5 s
    And the job "aa04" is shown as completed within 25 s
    And no promise of the cell was broken

    Examples:
      | how           |
      | refuses       |
      | is silent     |
      | loses answers |

  Scenario Outline: The store fails everybody for 5 s: <how>
    # A user's running work must live through it, and what was handed in before must end.
    Given a cell of 3 instances and 4 workers
    And tasks take 3 s
    When a job "aa05" of 2 steps of 6 tasks is handed in
    And 2 s pass in the cell
    And the store <how> for everybody
    And 5 s pass in the cell
    And the store serves everybody again
    Then the job "aa05" is shown as completed within 30 s
    And no promise of the cell was broken

    Examples:
      | how           |
      | refuses       |
      | is silent     |
      | loses answers |
      | acts late     |

  Scenario: A refused job never runs
    # A user reads "not accepted" and hands the work in elsewhere. If the store took the
    # first one after all, the work would be done twice under two ids.
    Given a cell of 3 instances and 4 workers
    When the store refuses for everybody
    And a job "aa06" of 1 steps of 2 tasks is handed in
    Then the job was refused
    When the store serves everybody again
    And 10 s pass in the cell
    Then nothing has started

  Scenario: A job whose answer was lost is one job
    # A user gets no answer and hands the same job in at another instance.
    Given a cell of 3 instances and 4 workers
    When the store loses answers for everybody
    And a job "aa07" of 1 steps of 4 tasks is handed in
    And the store serves everybody again
    And a job "aa07" of 1 steps of 4 tasks is handed in
    Then the job "aa07" is shown as completed within 15 s
    And no promise of the cell was broken
    And no task was started more often than needed

  Scenario: Orders that are carried out late do no harm
    # A user would see a task run twice: a start without an answer is given up, the task
    # starts elsewhere, and four seconds later the first order is carried out.
    Given a cell of 3 instances and 4 workers
    And one order in ten is carried out 4 s late
    When 6 jobs of 2 steps of 6 tasks are handed in
    And 25 s pass in the cell
    Then all jobs are shown as completed within 40 s
    And no promise of the cell was broken

  Scenario: A worker that dies gives its tasks back
    # A user waits for a check whose worker is gone. Its lease must be over before the task
    # may start elsewhere, and then it must start.
    Given a cell of 3 instances and 4 workers
    And tasks take 4 s
    When a job "aa08" of 1 steps of 8 tasks is handed in
    And 1 s pass in the cell
    And a busy worker dies
    Then the job "aa08" is shown as completed within 25 s
    And no promise of the cell was broken

  Scenario: A worker that fails everything is left alone
    # A user's job is shown as failed although others would have done it: one worker ends
    # every attempt as failed at once, is free again first, and gets the next attempt too.
    Given a cell of 3 instances and 6 workers
    And one worker fails everything
    When 12 jobs of 1 steps of 6 tasks are handed in
    Then all jobs are shown as completed within 40 s

  Scenario: Tasks that stand still move to another worker
    # A user waits for ever: a worker answers, lists the task as running, and does nothing.
    Given a cell of 3 instances and 6 workers
    And one worker stands still
    When 6 jobs of 1 steps of 6 tasks are handed in
    Then all jobs are shown as completed within 40 s
    And no promise of the cell was broken

  Scenario: Draining workers get nothing new and their lasting tasks move
    Given a cell of 3 instances and 5 workers
    And a lasting job "aa09" of 4 tasks is at work
    When a busy worker drains
    And 4 s pass in the cell
    Then nothing runs on the draining worker
    And 4 tasks of "aa09" are at work
    And no promise of the cell was broken

  Scenario: Fillers stay away from the tasks that they disturb
    # A front desk waits: a batch task sits beside a calendar task and pushes its tail over
    # the target. Of two filling images one disturbs and one does not, which only the
    # reports show. Both must still get done.
    Given a cell of 3 instances and 8 workers
    And the image "heavy" disturbs the image "serving" and "light" does not
    And a lasting job "ab01" of 8 tasks of the image "serving" is at work
    When 10 filling jobs each of the images "heavy" and "light" are handed in over 10 s
    Then all jobs are shown as completed within 60 s
    And serving tasks were over their target for less than 12 task-seconds
    And no promise of the cell was broken

  Scenario: Steps of an advised queue go only where they are allowed
    Given a cell of 3 instances and 6 workers
    And advice allows only the workers "w0" and "w1"
    When a job "ab02" of 1 steps of 6 tasks is handed in for advice
    Then the job "ab02" is shown as completed within 15 s
    And it ran only on "w0" and "w1"

  Scenario: A gang starts whole or not at all
    Given a cell of 3 instances and 4 workers
    When a gang job "ab03" of 6 tasks is handed in
    Then the job "ab03" is shown as completed within 10 s
    And every member had the same run number

  Scenario: A job that is due several times runs each time, not early
    Given a cell of 3 instances and 4 workers
    When a job "ab04" due 3 times every 2 s is handed in
    Then the job "ab04" is shown as completed within 15 s
    And its occurrences started in turn and not early

  Scenario: An instance that cannot read is not ready and says so
    # A caller asks a cut-off instance for a job that it has not heard of. "No such job"
    # would be a lie; it must say that it cannot know.
    Given a cell of 3 instances and 4 workers
    When the store is silent for "i2"
    And a job "ab05" of 1 steps of 2 tasks is handed in through "i1"
    And 4 s pass in the cell
    Then "i2" is not ready
    And "i2" does not deny the job "ab05"

  Scenario: The log forgets its history
    # Every follower finds its place in the log gone and must begin from the newest records.
    Given a cell of 3 instances and 4 workers
    When a job "ab06" of 3 steps of 4 tasks is handed in
    And the log forgets its history
    And 1 s pass in the cell
    And the log forgets its history
    Then the job "ab06" is shown as completed within 15 s
    And no promise of the cell was broken

  Scenario Outline: Random faults, seed <seed>
    Given a random walk of a cell with seed <seed>
    Then no promise of the cell was broken
    And every accepted job came to its end

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
      | 4    |
      | 5    |
      | 6    |

  Scenario: A job that disturbs everybody still gets on while the cell is mostly free
    # A batch user waits for ever in a cell with most of its room free: every worker serves
    # an image that the job's image disturbs, so no worker is good enough for it.
    Given a cell of 3 instances and 4 workers
    And the image "heavy" disturbs the image "serving" and "light" does not
    And a lasting job "ac01" of 4 tasks of the image "serving" is at work
    When 10 filling jobs each of the images "heavy" and "light" are handed in over 10 s
    And 4 s pass in the cell
    Then no job has nothing at work
    And no promise of the cell was broken

  Scenario: A lasting task runs again although every worker with room rests
    # A watcher stays away for seconds with room for it: its worker failed twice by chance,
    # rests for 6 s, and no other has room.
    Given a cell of 3 instances and 2 workers
    And a lasting job "ac02" of 6 tasks is at work
    When every worker rests and a task of "ac02" fails
    Then 6 tasks of "ac02" are at work within 2 s
    And no promise of the cell was broken

  Scenario: A new holder that has not heard of a job waits until it has
    # A check runs twice. The connection on which an instance reads the log of jobs is
    # silent; the holder dies, and that instance takes the cell over. A task of a job that
    # it does not know ends, its end is acknowledged and ignored, and when the job arrives
    # its task is started again.
    Given a cell of 2 instances and 4 workers
    When the other instance reads no jobs
    And a job "ac03" of 1 steps of 4 tasks is handed in at the holder
    And the holder dies
    And 3 s pass in the cell
    And the other instance reads jobs again
    Then the job "ac03" is shown as completed within 20 s
    And no promise of the cell was broken
    And no task was started more often than needed

  Scenario: A step whose workers are named late in the list starts
    # A dispatcher waits for ever in an empty cell. The service of advice lets the step run
    # only on two of 40 workers, and the question names the same first 24 with room each
    # time; nobody ever asks about the others.
    Given a cell of 3 instances and 40 workers
    And advice allows only the workers "w38" and "w39"
    When a job "ac04" of 1 steps of 6 tasks is handed in for advice
    Then the job "ac04" is shown as completed within 10 s
    And it ran only on "w38" and "w39"
    And nobody was asked again about a worker that may not run the step

  Scenario: A gang gets advice on as many workers as it needs
    # A gang waits for ever in an empty cell: the first of the two workers that may run it
    # has room for some members only. One ticket with room was taken to be enough, so
    # nobody asked about the second, and a later answer replaced what the first had said.
    Given a cell of 3 instances and 40 workers
    And advice allows only the workers "w0" and "w39"
    When a gang job "ac05" of 6 tasks of 4 cores is handed in for advice
    Then the job "ac05" is shown as completed within 10 s
    And it ran only on "w0" and "w39"

  Scenario: Advice is forgotten with the step that it is about
    # A holder of days grows until its machine ends it: what was asked and answered about
    # a step was kept for good, also after the step was done and the job forgotten.
    Given a cell of 3 instances and 6 workers
    And advice allows only the workers "w0" and "w1"
    When a job "ac06" of 2 steps of 6 tasks is handed in for advice
    And a job "ac07" of 1 steps of 300 tasks is handed in for advice
    And 1 s pass in the cell
    And the job "ac07" is cancelled at once
    Then the job "ac06" is shown as completed within 15 s
    And no advice is kept 3 s later

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

  Scenario: A holder that was replaced shows what its successor did
    # A caller asks for a finished job and reads "queued" for as long as one instance gets
    # no answers to what it stores. It was replaced and has read so in the log, but takes in
    # no record of its successor while it still counts itself the holder; what it missed
    # then stays missing if a read is on its way when it learns better.
    Given a cell of 3 instances and 4 workers
    When the store loses answers for the holder only
    Then another instance holds the cell within 6 s
    When a job "ac11" of 1 steps of 4 tasks is handed in at the holder
    Then the job "ac11" is shown as completed within 15 s
    When 2 s pass in the cell
    Then the earlier holder shows the job "ac11" as completed
    And no promise of the cell was broken

  Scenario: A finished job that is being forgotten does not begin again
    # A job of two minutes ago is shown as "queued" and all its tasks run a second time. Its
    # progress is deleted first and the job after that; the log of jobs refuses the second
    # and the holder dies, so the next one finds a job of which nothing has started.
    Given a cell of 3 instances and 4 workers
    When a job "ac12" of 1 steps of 4 tasks is handed in
    Then the job "ac12" is shown as completed within 10 s
    When the log of jobs refuses every record
    And 140 s pass in the cell
    Then the job "ac12" is shown as completed within 1 s
    When the holder dies
    And the log of jobs takes records again
    Then another instance holds the cell within 4 s
    When 10 s pass in the cell
    Then no task was started more often than needed
    And no promise of the cell was broken

  Scenario: A job that ended long ago leaves nothing behind
    Given a cell of 3 instances and 4 workers
    When a job "ac13" of 1 steps of 4 tasks is handed in
    Then the job "ac13" is shown as completed within 10 s
    When 140 s pass in the cell
    Then neither the log nor any instance keeps anything of the job "ac13"

  Scenario: A job that was dropped while an instance could not read stays dropped
    # A job of two minutes ago is shown as "queued" and runs a second time. An instance gets
    # no answers from the log of jobs while the job is dropped, its place in the log expires,
    # and among the newest records nothing says that the job is gone.
    Given a cell of 2 instances and 4 workers
    When a job "ac14" of 1 steps of 4 tasks is handed in
    Then the job "ac14" is shown as completed within 10 s
    When the other instance reads no jobs
    And 140 s pass in the cell
    And the log forgets its history
    And the other instance reads jobs again
    And 3 s pass in the cell
    Then neither the log nor any instance keeps anything of the job "ac14"
    When the holder dies
    Then another instance holds the cell within 5 s
    When 5 s pass in the cell
    Then no task was started more often than needed

  Scenario: A cancellation that is read before its job counts
    # A user cancels, gets the answer, and the job runs. The holder cannot read; the job is
    # handed in, cancelled, and handed in again by a caller that got no answer, at an
    # instance that has not heard of it. Among the newest records the job comes last.
    Given a cell of 3 instances and 4 workers
    When only one instance reads jobs, and it is not the holder
    And a job "ac15" of 1 steps of 4 tasks is handed in there
    And the job "ac15" is cancelled there
    And a job "ac15" of 1 steps of 4 tasks is handed in at the holder
    And the log forgets its history
    And all instances read jobs again
    And 5 s pass in the cell
    Then nothing has started

  Scenario: A job that a holder left while its runs were being stopped is forgotten
    # Memory of a holder of days fills: a job whose end was stored while its tasks were still
    # being stopped came to the next holder without the time of its end, and nothing that
    # has no such time is ever forgotten.
    Given a cell of 3 instances and 4 workers
    And a lasting job "ac16" of 4 tasks is at work
    When the job "ac16" is cancelled at once
    And 0.2 s pass in the cell
    And the holder dies
    Then another instance holds the cell within 4 s
    When 145 s pass in the cell
    Then neither the log nor any instance keeps anything of the job "ac16"

  Scenario Outline: Random faults and workers that refuse orders, seed <seed>
    # Each of these seeds ended with a job that was never done, or room that never came back,
    # while a stop that a worker refused was given up.
    Given a random walk with workers that refuse orders and seed <seed>
    Then no promise of the cell was broken
    And every accepted job came to its end
    And no worker's room is booked

    Examples:
      | seed |
      | 100  |
      | 105  |
      | 113  |
      | 122  |

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
