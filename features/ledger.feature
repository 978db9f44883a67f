Feature: Instances agree on what the log keeps, drops and forgets
  What a holder, its successor and the other instances show of a job and do with it when
  they cannot read the log, read it anew, or have dropped the job.

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
