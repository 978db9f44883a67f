Feature: A task that has ended does not start again by a late copy of its start
  An order without an answer may be carried out seconds later. A worker that has started
  again under its id knows nothing of before, and carries such an order out once more.

  Scenario Outline: A copy is carried out while no holder is there: <work>
    # Guards against a task that runs again after its end was acknowledged: nobody can
    # stop the copy of its start that the next incarnation of its worker carries out.
    Given a cell of 3 instances and 2 workers
    And tasks take 1 s
    When starts are carried out 6.5 s late from now on
    And a <work> "ef01" of 2 tasks comes
    And 0.3 s pass in the cell
    And orders are carried out at once again
    Then the job "ef01" is shown as completed within 3 s
    When 2 s pass in the cell
    And the holder dies as every worker starts again under its id after 0.7 s
    And 6 s pass in the cell
    Then 2 late starts were carried out
    And no promise of the cell was broken

    Examples:
      | work     |
      | job      |
      | gang job |

  Scenario: The holder is there, and its stops get no answer
    # As above, with a holder that knows of the copy and can't stop it in time.
    Given a cell of 3 instances and 2 workers
    And tasks take 1 s
    When starts are carried out 6.5 s late from now on
    And a job "ef02" of 2 tasks comes
    And 0.3 s pass in the cell
    And orders are carried out at once again
    Then the job "ef02" is shown as completed within 3 s
    When 2 s pass in the cell
    And stops are lost from now on
    And no worker writes its entry from now on
    And every worker starts again under its id after 0.7 s
    And 4 s pass in the cell
    And orders are carried out at once again
    And the workers write their entries again
    And 3 s pass in the cell
    Then 2 late starts were carried out
    And no promise of the cell was broken

  Scenario: The copy outlives two holders
    # As above, for a holder that has not sent the start: it knows of the copy by the
    # record that the one before stored.
    Given a cell of 3 instances and 2 workers
    And tasks take 3 s
    When starts are carried out 7.5 s late from now on
    And a job "ef03" of 2 tasks comes
    And 0.3 s pass in the cell
    And orders are carried out at once again
    And 1 s pass in the cell
    And the holder dies
    Then another instance holds the cell within 4 s
    And the job "ef03" is shown as completed within 3 s
    When 1 s pass in the cell
    And the holder dies as every worker starts again under its id after 0.7 s
    And 6 s pass in the cell
    Then 2 late starts were carried out
    And no promise of the cell was broken

  Scenario: The holder died before it missed the answer
    # As above: no record tells of the copy, for the holder died as it waited for the
    # answer, but no report lists the run either.
    Given a cell of 3 instances and 2 workers
    And tasks take 1 s
    When starts are carried out 6.3 s late from now on
    And a job "ef04" of 2 tasks comes
    And 0.3 s pass in the cell
    And orders are carried out at once again
    And the holder dies
    Then another instance holds the cell within 4 s
    And the job "ef04" is shown as completed within 3 s
    When 1 s pass in the cell
    And the holder dies as every worker starts again under its id after 0.7 s
    And 8 s pass in the cell
    Then 2 late starts were carried out
    And no promise of the cell was broken

  Scenario: A worker starts again twice, and carries out a copy in each life
    # Guards against an end of the second incarnation that is acknowledged while the
    # third one may still carry out another copy.
    Given a cell of 3 instances and 2 workers
    And tasks take 0.5 s
    When starts are carried out 6 s late from now on
    And a job "ef05" of 2 tasks comes
    And 2 s pass in the cell
    And orders are carried out at once again
    Then the job "ef05" is shown as completed within 3 s
    When 0.5 s pass in the cell
    And the holder dies as every worker starts again under its id after 0.7 s
    And 3 s pass in the cell
    And the holder dies as every worker starts again under its id after 0 s
    And 8 s pass in the cell
    Then at least 2 late starts were carried out
    And no promise of the cell was broken

  Scenario: A task is started again where a late copy of its start may arrive
    # Guards against a task that runs twice: the holder died before it got an answer, the
    # next one starts the task elsewhere, and dies; the first worker starts again.
    Given a cell of 3 instances and 3 workers
    And tasks take 12 s
    When starts are carried out 6.3 s late from now on
    And a job "ef10" of 1 tasks comes
    And 0.3 s pass in the cell
    And the worker that is sent the start is noted
    And orders are carried out at once again
    And the holder dies
    Then another instance holds the cell within 4 s
    When 1 s pass in the cell
    Then a task of "ef10" is at work
    When the holder dies as the noted worker starts again under its id after 0.7 s
    And 3 s pass in the cell
    Then the late start was carried out
    And no promise of the cell was broken
    And the job "ef10" is shown as completed within 40 s
    And no promise of the cell was broken

  Scenario: A task waits until the worker of the late copy has reported
    # As above: the task's new attempt is lost with the worker, and another one elsewhere
    # would run beside the copy. The holder knows the new incarnation from the list.
    Given a cell of 3 instances and 3 workers
    And tasks take 12 s
    When starts are carried out 6.3 s late from now on
    And a job "ef11" of 1 tasks comes
    And 0.3 s pass in the cell
    And the worker that is sent the start is noted
    And orders are carried out at once again
    And the holder dies
    Then another instance holds the cell within 4 s
    When 1 s pass in the cell
    Then a task of "ef11" is at work
    When reports are lost from now on
    And the noted worker starts again under its id after 0.1 s
    And 0.3 s pass in the cell
    And the holder dies
    And orders are carried out at once again
    And 3 s pass in the cell
    Then the late start was carried out
    And no promise of the cell was broken
    And the job "ef11" is shown as completed within 40 s
    And no promise of the cell was broken

  Scenario: The worker starts again twice, and the copy arrives in its third life
    # As above: the second incarnation had answered a stop of the run, so that its task
    # was started elsewhere.
    Given a cell of 3 instances and 3 workers
    And tasks take 12 s
    When starts are carried out 5 s late from now on
    And a job "ef12" of 1 tasks comes
    And 0.3 s pass in the cell
    And the worker that is sent the start is noted
    And orders are carried out at once again
    And the noted worker starts again under its id after 0.1 s
    And 3 s pass in the cell
    Then a task of "ef12" is at work
    When the holder dies as the noted worker starts again under its id after 0.1 s
    And 4 s pass in the cell
    Then the late start was carried out
    And no promise of the cell was broken
    And the job "ef12" is shown as completed within 40 s
    And no promise of the cell was broken

  Scenario Outline: An end is held back only if its task must not start again: <end>, <kind>, <answer>, <birth>
    # Guards against ends that are acknowledged late without need, and against workers
    # that answer each request for a report at once.
    Given a holder whose start of <kind> got <answer> from a worker that states <birth>
    When the worker lists that the run ended as <end>
    Then the end may be acknowledged <time>

    Examples:
      | kind                 | answer    | birth     | end    | time       |
      | a job                | no answer | its birth | done   | 15 s later |
      | a job                | no answer | its birth | failed | at once    |
      | a job of one attempt | no answer | its birth | failed | 15 s later |
      | a speculative job    | no answer | its birth | done   | at once    |
      | a lasting job        | no answer | its birth | failed | at once    |
      | a job                | an answer | its birth | done   | at once    |
      | a job                | no answer | no birth  | done   | at once    |

  Scenario: A worker of which an end is held back is asked again after a pause
    # Guards against a holder that is busy with reports: such a worker does not wait for
    # its next end before it answers.
    Given a holder whose start of a job got no answer from a worker that states its birth
    When the worker lists that the run ended as done
    Then the holder waits 0.8 s before the next report, and the worker not at all
    When another task is at work there
    Then the holder waits 0.1 s before the next report, and the worker not at all
    When 300 workers hold ends back
    Then the holder waits 0.75 s before the next report, and the worker not at all

  Scenario: Nothing is placed on a worker that holds back as many ends as a report lists
    # Guards against ends that are left out of reports for as long as one is held back.
    Given a holder whose start of a job got no answer from a worker that states its birth
    When the worker lists that the run ended as done
    And it lists 248 other ends behind it
    Then it is usable
    When it lists 1 other ends behind it
    Then it is not usable
    When 16 s pass for the holder
    Then the ends may be acknowledged, and it is usable

  Scenario: A start is sent again only when the record of its first copy is stored
    # Guards against a copy that the next holder does not know of.
    Given a cell of 3 instances and 2 workers
    When starts are carried out 6.5 s late from now on
    And a job "ef06" of 1 tasks comes
    And 0.5 s pass in the cell
    And the store is silent for the holder only
    And 0.7 s pass in the cell
    Then the holder has sent 1 starts of "ef06"

  Scenario: Records tell of late copies, and older instances read them
    When a job's progress is stored with a task of which a copy may arrive late
    Then the restored job has one such task
    And an older instance reads the record
    And the record of a job without such tasks is as before
