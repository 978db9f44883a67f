Feature: A cell schedules from the log, whichever instance holds it
  Real instances in simulated time, with simulated workers that check the orders they
  get and a simulated log service.

  Scenario: A job's steps run in order and callers see it done
    Given a cell of 3 instances and 4 workers
    When a job "aa01" of 2 steps of 6 tasks is handed in
    Then the job "aa01" is shown as completed within 8 s
    And no promise of the cell was broken

  Scenario: Eight instances that claim at once find one holder
    # Guards against several holders, which would stop and restart each other's tasks.
    # All instances start within a moment and claim the cell at the same log offset. If
    # all of them use one producer name, the log answers every claim like the first, and
    # each instance believes that it won.
    Given a cell of 8 instances and 4 workers
    When 5 s pass in the cell
    Then exactly 1 instance believes that it holds the cell

  Scenario Outline: A holder's term that has ended does not begin again: <jobs> jobs stored
    # Guards against an instance that takes the cell again every 0.3 s and starts nothing:
    # the log refuses the appends of a second term under one epoch, or answers the first
    # few like those of the first term without storing them.
    Given a cell of 3 instances and 4 workers
    When the holder's term ends after <jobs> jobs
    Then the next term begins within 4 s, under a higher epoch
    And no other term has begun
    And the log has every record that the holder has stored

    Examples:
      | jobs |
      | 1    |
      | 30   |

  Scenario: Work that runs goes on under the next holder
    # Guards against a task that runs on two workers. A job was accepted long ago, and
    # its task runs when the holder dies. If the next holder counts the lease of the
    # inherited attempt from the job's acceptance, it takes the lease for expired and
    # starts the task again beside the first run.
    Given a cell of 3 instances and 4 workers
    And tasks take 25 s
    When a job "aa02" of 1 steps of 3 tasks is handed in
    And 15 s pass in the cell
    And the holder dies
    Then another instance holds the cell within 4 s
    And the job "aa02" is shown as completed within 40 s
    And no promise of the cell was broken
    And no task was started more often than needed

  Scenario Outline: The store turns the holder away: <how>
    # Guards against a cell in which nothing starts. The store serves every instance
    # except the holder, which can store no order. The holder must stop giving orders,
    # and another instance must take over.
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
    # Running work must survive the outage, and jobs submitted before it must complete.
    Given a cell of 3 instances and 4 workers
    And tasks take 3 s
    When a job "aa05" of 2 steps of 6 tasks is handed in
    And 2 s pass in the cell
    And the store <how> for all instances
    And 5 s pass in the cell
    And the store serves all instances again
    Then the job "aa05" is shown as completed within 30 s
    And no promise of the cell was broken

    Examples:
      | how           |
      | refuses       |
      | is silent     |
      | loses answers |
      | acts late     |

  Scenario: A refused job never runs
    # Guards against work that is done twice under two job ids. A caller that reads "not
    # accepted" submits the work elsewhere, so the store must not have kept the first
    # job after all.
    Given a cell of 3 instances and 4 workers
    When the store refuses for all instances
    And a job "aa06" of 1 steps of 2 tasks is handed in
    Then the job was refused
    When the store serves all instances again
    And 10 s pass in the cell
    Then nothing has started

  Scenario: A job whose answer was lost is one job
    # A caller that gets no answer submits the same job again at another instance.
    Given a cell of 3 instances and 4 workers
    When the store loses answers for all instances
    And a job "aa07" of 1 steps of 4 tasks is handed in
    And the store serves all instances again
    And a job "aa07" of 1 steps of 4 tasks is handed in
    Then the job "aa07" is shown as completed within 15 s
    When 16 s pass in the cell
    Then no promise of the cell was broken
    And no task was started more often than needed

  Scenario: A worker that dies gives its tasks back
    # Guards against a job that never completes because its worker is gone. The task may
    # start elsewhere only after the worker's lease has expired, and then it must.
    Given a cell of 3 instances and 4 workers
    And tasks take 4 s
    When a job "aa08" of 1 steps of 8 tasks is handed in
    And 1 s pass in the cell
    And a busy worker dies
    Then the job "aa08" is shown as completed within 25 s
    And no promise of the cell was broken

  Scenario: A worker that fails everything is left alone
    # Guards against a job that fails although other workers could complete it. One
    # worker fails every attempt at once, is therefore free first, and gets the next
    # attempt as well.
    Given a cell of 3 instances and 6 workers
    And one worker fails every attempt
    When 12 jobs of 1 steps of 6 tasks are handed in
    Then all jobs are shown as completed within 40 s

  Scenario: Tasks that make no progress move to another worker
    # Guards against a job that never ends because a worker responds and lists the task
    # as running, but makes no progress.
    Given a cell of 3 instances and 6 workers
    And one worker makes no progress
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

  Scenario: Fillers stay away from the tasks with which they interfere
    # Guards against a serving task that exceeds its latency target because a batch task
    # (filler) runs on the same worker. Of two filler images one interferes and one does
    # not, and only the reports show which. Jobs of both images must still complete.
    Given a cell of 3 instances and 8 workers
    And the image "heavy" interferes with the image "serving" and "light" does not
    And a lasting job "ab01" of 8 tasks of the image "serving" is at work
    When 10 filler jobs each of the images "heavy" and "light" are handed in over 10 s
    Then all jobs are shown as completed within 60 s
    And serving tasks exceeded their latency target for less than 12 task-seconds
    And no promise of the cell was broken

  Scenario: A gang starts whole or not at all
    Given a cell of 3 instances and 4 workers
    When a gang job "ab03" of 6 tasks is handed in
    Then the job "ab03" is shown as completed within 10 s
    And every member had the same run number

  Scenario: A job that is due several times runs each time, not early
    Given a cell of 3 instances and 4 workers
    When a job "ab04" with 3 occurrences, one every 2 s, is handed in
    Then the job "ab04" is shown as completed within 15 s
    And its occurrences started in order and not early

  Scenario Outline: Random faults, seed <seed>
    Given a random walk of a cell with seed <seed>
    Then no promise of the cell was broken
    And every accepted job reached a final status

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
      | 4    |
      | 5    |
      | 6    |

  Scenario: A job that interferes on every worker still runs in a mostly free cell
    # Guards against a batch job that waits forever although most of the cell is free.
    # Every worker serves an image with which the job's image interferes, so no worker
    # qualifies.
    Given a cell of 3 instances and 4 workers
    And the image "heavy" interferes with the image "serving" and "light" does not
    And a lasting job "ac01" of 4 tasks of the image "serving" is at work
    When 10 filler jobs each of the images "heavy" and "light" are handed in over 10 s
    And 4 s pass in the cell
    Then every unfinished filler job has a task at work
    And no promise of the cell was broken

  Scenario: A lasting task runs again although every worker with room rests
    # Guards against a lasting task that stays stopped for seconds although there is
    # room for it. Its worker failed twice by chance and rests (gets no new tasks) for
    # 6 s, and no other worker has room.
    Given a cell of 3 instances and 2 workers
    And a lasting job "ac02" of 6 tasks is at work
    When every worker rests and a task of "ac02" fails
    Then 6 tasks of "ac02" are at work within 2 s
    And no promise of the cell was broken

  Scenario Outline: Random faults and workers that refuse orders, seed <seed>
    # Each of these seeds ends with a job that never completes, or with capacity that is
    # never released, if a stop that a worker refuses is not sent again.
    Given a random walk with workers that refuse orders and seed <seed>
    Then no promise of the cell was broken
    And every accepted job reached a final status
    And no worker's room is still occupied

    Examples:
      | seed |
      | 100  |
      | 105  |
      | 113  |
      | 122  |

  Scenario: Lasting tasks of a lost worker come back although the holder is lost as well
    # Guards against a lasting job that lacks a task for fourteen seconds beside free
    # room. Its worker is lost, the lease expires, and the holder is lost meanwhile. The
    # next holder cannot know since when the worker has been silent, and would wait for
    # a whole lease from its own start.
    # Example: a run's lease expires at 40.8 s, and the next holder restarts the task at
    # 54.7 s.
    Given a cell of 3 instances and 4 workers
    And a lasting job "ah01" of 4 tasks is at work
    When a busy worker dies
    And 7 s pass in the cell
    And the holder dies
    And 3 s pass in the cell
    Then 4 tasks of "ah01" are at work within 7 s

  Scenario: After an outage of the store a large instance claims the cell before a small one
    # Guards against a holder on a small machine, which decides twice a second for the rest
    # of the day: whoever reads the log first would claim, and most instances are small.
    Given an instance of 0.5 cores and one of 2 cores that cannot read the log for 5 s
    When the small one can read it again 0.2 s before the large one
    Then the large one may claim the cell first

  Scenario: What was learned is stored again only when it has changed
    # Guards against a cell that nobody uses and whose holder writes records for ever.
    Given a cell of 3 instances and 4 workers
    When a job "aa07" of 2 steps of 6 tasks is handed in
    And 6 s pass in the cell
    Then run times were learned and stored
    And none of the learned records is stored in the next 10 s
