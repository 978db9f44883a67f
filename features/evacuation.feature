Feature: Nothing starts in a data centre that the operator evacuates
  The operator requests that nothing more is started in a data centre, until the request
  is taken back. Running tasks continue; everything else waits or goes elsewhere.

  Scenario Outline: No <kind> task starts in an evacuated data centre
    # Guards against tasks of any kind that go on starting in a data centre that is to
    # be switched off.
    Given a cell of 3 instances, with 2 workers in each of 2 data centres
    When the data centre "dc-1" is evacuated
    And 5 s pass in the cell
    And a <kind> job "ee01" of 4 tasks is handed in
    And 12 s pass in the cell
    Then tasks of "ee01" have started
    And no promise of the cell was broken

    Examples:
      | kind        |
      | plain       |
      | lasting     |
      | filling     |
      | gang        |
      | advised     |
      | speculative |

  Scenario: What runs in a data centre runs on when it is evacuated
    # Guards against lasting tasks that stop for seconds because a data centre is
    # emptied at once.
    Given a cell of 3 instances, with 2 workers in each of 2 data centres
    And a lasting job "ee02" of 8 tasks is at work
    When the data centre "dc-1" is evacuated
    And 10 s pass in the cell
    Then 8 tasks of "ee02" are at work within 1 s
    And tasks of "ee02" are at work in "dc-1"
    And no promise of the cell was broken

  Scenario: A start that waited for its answer is withdrawn from an evacuated data centre
    # A start is decided and gets no answer. Without a check, the same start is sent
    # again until it is carried out, long after the evacuation.
    Given a cell of 3 instances, with 2 workers in each of 2 data centres
    When a job "ee03" of 4 tasks that take 6 cores each is handed in while no worker is reached
    And 0.3 s pass in the cell
    And the data centre "dc-1" is evacuated
    And 5 s pass in the cell
    And the workers are reached again
    Then the job "ee03" is shown as completed within 40 s
    And no promise of the cell was broken

  Scenario: A new holder knows of an evacuation that began before it took over
    # Guards against a new holder that fills the data centre which its predecessor
    # avoided.
    Given a cell of 3 instances, with 2 workers in each of 2 data centres
    When the data centre "dc-1" is evacuated
    And 5 s pass in the cell
    And the holder dies
    And a job "ee04" of 2 steps of 6 tasks is handed in
    Then the job "ee04" is shown as completed within 20 s
    And no promise of the cell was broken

  Scenario: Every instance restarts during an evacuation whose history is discarded
    # All processes lose power, and the store has discarded replaced records. The
    # evacuation must not be lost with them.
    Given a cell of 3 instances, with 2 workers in each of 2 data centres
    When the data centre "dc-1" is evacuated
    And the store discards its history
    And 5 s pass in the cell
    And every instance restarts
    And 5 s pass in the cell
    And a job "ee05" of 2 steps of 6 tasks is handed in
    Then the job "ee05" is shown as completed within 20 s
    And no promise of the cell was broken

  Scenario: An evacuation that was taken back while its history was discarded is over
    # Guards against a data centre that stays empty for good. The end of its evacuation
    # cannot be read as a record, and the newest records do not name what was removed.
    Given a cell of 3 instances, with 2 workers in each of 2 data centres
    When the data centre "dc-1" is evacuated
    And 2 s pass in the cell
    And the operator's log cannot be read by anyone
    And the evacuation of the data centre "dc-1" is taken back
    And the store discards its history
    And 2 s pass in the cell
    And the operator's log can be read again
    And 5 s pass in the cell
    And a lasting job "ee06" of 16 tasks is handed in
    And 3 s pass in the cell
    Then tasks of "ee06" are at work in "dc-1"
    And no promise of the cell was broken

  Scenario: Nothing starts while the view of the operator's log is too old
    # The operator's log cannot be read for 15 s, everything else can. A data centre is
    # evacuated meanwhile, no instance knows, and new tasks would fill it as before.
    Given a cell of 3 instances, with 2 workers in each of 2 data centres
    When a job "ee07" of 12 steps of 6 tasks is handed in
    And the operator's log cannot be read by anyone
    And the data centre "dc-1" is evacuated
    And 15 s pass in the cell
    And the operator's log can be read again
    Then the job "ee07" is shown as completed within 30 s
    And no promise of the cell was broken

  Scenario: With every data centre evacuated, every job waits and none is lost
    # Guards against jobs that are accepted while both data centres are evacuated for a
    # moment and never start.
    Given a cell of 3 instances, with 2 workers in each of 2 data centres
    When the data centre "dc-1" is evacuated
    And the data centre "dc-2" is evacuated
    And the data centre "nowhere" is evacuated
    And 5 s pass in the cell
    And a job "ee08" of 2 steps of 6 tasks is handed in
    And 8 s pass in the cell
    Then nothing of "ee08" has started
    And the holder says that "ee08" waits for an evacuated data centre
    When the evacuation of the data centre "dc-2" is taken back
    Then the job "ee08" is shown as completed within 20 s
    And no promise of the cell was broken

  Scenario: Room in an evacuated data centre makes no urgent job wait for it
    # Guards against an urgent job that is late because a lasting task is preempted for
    # it in the evacuated data centre, where nothing may start, instead of where it
    # could.
    Given a cell of 3 instances, with 2 workers in each of 2 data centres
    And a lasting job "ee09" of 16 tasks is at work
    When the data centre "dc-1" is evacuated
    And 5 s pass in the cell
    And a job "ee10" of 1 steps of 6 tasks is handed in
    Then the job "ee10" is shown as completed within 6 s
    And no lasting task was stopped in "dc-1" to make room

  Scenario: Room in an evacuated data centre counts for no share of the service
    # Guards against a job that waits although it could start at a reduced pace beside
    # others. A fourth of the service seems free, but that room may not be used.
    Given 4 workers of 16 cores
    And lasting tasks of 4 cores fill them
    When a fifth worker with no task is listed, in a data centre that is evacuated
    Then all of the service's processors count as reserved

  Scenario Outline: A random walk with evacuations and seed <seed>
    Given a random walk with evacuations and seed <seed>
    Then no promise of the cell was broken
    And every accepted job reached a final status

    Examples:
      | seed |
      | 41   |
      | 42   |
      | 43   |
