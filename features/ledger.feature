Feature: Instances agree on what the log keeps, deletes and forgets
  What a holder, its successor and the other instances show of a job and do with it when
  they cannot read the log, read it again from the newest records, or have deleted the
  job.

  Scenario: An instance that cannot read is not ready and says so
    # A caller asks a cut-off instance for a job that the instance does not know. "No
    # such job" would be wrong; it must say that it cannot know.
    Given a cell of 3 instances and 4 workers
    When the store is silent for "i2"
    And a job "ab05" of 1 steps of 2 tasks is handed in through "i1"
    And 4 s pass in the cell
    Then "i2" is not ready
    And "i2" does not say that the job "ab05" is unknown

  Scenario: The log discards its history
    # Every reader finds its offset in the log gone and must restart from the newest
    # records.
    Given a cell of 3 instances and 4 workers
    When a job "ab06" of 3 steps of 4 tasks is handed in
    And the log discards its history
    And 1 s pass in the cell
    And the log discards its history
    Then the job "ab06" is shown as completed within 15 s
    And no promise of the cell was broken

  Scenario: A new holder that has not heard of a job waits until it has
    # Guards against a job that runs twice. The connection on which an instance reads
    # the log of jobs is silent; the holder dies, and that instance takes over the cell.
    # A task of a job that it does not know ends, the end is acknowledged and ignored,
    # and when the job arrives its task is started again.
    Given a cell of 2 instances and 4 workers
    When the other instance reads no jobs
    And a job "ac03" of 1 steps of 4 tasks is handed in at the holder
    And the holder dies
    And 3 s pass in the cell
    And the other instance reads jobs again
    Then the job "ac03" is shown as completed within 20 s
    And no promise of the cell was broken
    And no task was started more often than needed

  Scenario: A holder that was replaced shows what its successor did
    # Guards against a finished job that is shown as "queued" for as long as one
    # instance gets no answers to its appends. The instance was replaced and has read so
    # in the log, but applies no record of its successor while it still takes itself for
    # the holder. What it missed stays missing if a read is in progress when it stops
    # being the holder.
    Given a cell of 3 instances and 4 workers
    When the store loses answers for the holder only
    Then another instance holds the cell within 6 s
    When a job "ac11" of 1 steps of 4 tasks is handed in at the holder
    Then the job "ac11" is shown as completed within 15 s
    When 2 s pass in the cell
    Then the earlier holder shows the job "ac11" as completed
    And no promise of the cell was broken

  Scenario: A finished job that is being forgotten does not begin again
    # Guards against a job that finished two minutes ago, is shown as "queued" and runs
    # all its tasks a second time. Its progress is deleted first and the job after that.
    # The log of jobs refuses the second deletion and the holder dies, so the next
    # holder finds a job of which nothing has started.
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
    # Guards against a job that finished two minutes ago, is shown as "queued" and runs
    # a second time. An instance gets no answers from the log of jobs while the job is
    # deleted, its offset in the log expires, and nothing among the newest records says
    # that the job is gone.
    Given a cell of 2 instances and 4 workers
    When a job "ac14" of 1 steps of 4 tasks is handed in
    Then the job "ac14" is shown as completed within 10 s
    When the other instance reads no jobs
    And 140 s pass in the cell
    And the log discards its history
    And the other instance reads jobs again
    And 3 s pass in the cell
    Then neither the log nor any instance keeps anything of the job "ac14"
    When the holder dies
    Then another instance holds the cell within 5 s
    When 5 s pass in the cell
    Then no task was started more often than needed

  Scenario: A cancellation that is read before its job counts
    # Guards against a job that runs although its cancellation was accepted. The holder
    # cannot read; the job is submitted, cancelled, and submitted again by a caller that
    # got no answer, at an instance that does not know it. Among the newest records the
    # job comes last.
    Given a cell of 3 instances and 4 workers
    When only one instance reads jobs, and it is not the holder
    And a job "ac15" of 1 steps of 4 tasks is handed in there
    And the job "ac15" is cancelled there
    And a job "ac15" of 1 steps of 4 tasks is handed in at the holder
    And the log discards its history
    And all instances read jobs again
    And 5 s pass in the cell
    Then nothing has started

  Scenario: A job that a holder left while its runs were being stopped is forgotten
    # Guards against a memory leak in a holder that runs for days. A job whose end was
    # stored while its tasks were still being stopped reaches the next holder without
    # the time of its end, and a job without that time is never forgotten.
    Given a cell of 3 instances and 4 workers
    And a lasting job "ac16" of 4 tasks is at work
    When the job "ac16" is cancelled at once
    And 0.2 s pass in the cell
    And the holder dies
    Then another instance holds the cell within 4 s
    When 145 s pass in the cell
    Then neither the log nor any instance keeps anything of the job "ac16"
