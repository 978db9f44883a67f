Feature: Workers start again under the id that they had
  Such a worker knows nothing of before: it has no runs, ends or fencing token, and its
  counts and its clock start anew. ``born`` tells its incarnations apart.

  Scenario Outline: An end that a worker lists after it started again counts: <births>
    # Guards against a task that runs again after its end was acknowledged unread.
    Given a cell of 3 instances and 2 workers that state <births>
    When a job "ea01" of 2 steps of 6 tasks is handed in
    Then the job "ea01" is shown as completed within 8 s
    When every worker starts again under its id after 1 s
    And a job "ea02" of 2 steps of 6 tasks is handed in
    Then the job "ea02" is shown as completed within 12 s
    And no promise of the cell was broken
    And no task was started more often than needed

    Examples:
      | births       |
      | their births |
      | no birth     |

  Scenario: An end that no report has listed yet is not acknowledged
    # Guards against a task that runs again after its end was acknowledged unread: the
    # earlier incarnation's last end is acknowledged to the new one.
    Given a cell of 3 instances and 1 workers
    When a job "ec01" of 2 steps of 6 tasks is handed in
    Then the job "ec01" is shown as completed within 8 s
    Given tasks take 0.2 s
    When no worker writes its entry from now on
    And reports are lost from now on
    And a job "ec02" of 1 steps of 3 tasks is handed in
    And every worker starts again under its id as the starts are sent
    And 2 s pass in the cell
    And orders are carried out at once again
    And 1 s pass in the cell
    And the workers write their entries again
    Then the job "ec02" is shown as completed within 8 s
    And no promise of the cell was broken

  Scenario: A request that acknowledges nothing new drops no end of the next incarnation
    # Guards against a task that runs again after its end was acknowledged unread: the
    # next incarnation carries the request out late, and has ends of the same numbers.
    Given a cell of 3 instances and 1 workers
    When a job "ec03" of 2 steps of 6 tasks is handed in
    Then the job "ec03" is shown as completed within 8 s
    When 1 s pass in the cell
    And reports are carried out 4 s late from now on
    And 1.2 s pass in the cell
    And orders are carried out at once again
    And every worker starts again under its id after 0 s
    And 1.8 s pass in the cell
    Given tasks take 1.1 s
    When a job "ec04" of 1 steps of 3 tasks is handed in
    And 0.1 s pass in the cell
    And reports are lost from now on
    And 3 s pass in the cell
    And orders are carried out at once again
    Then the job "ec04" is shown as completed within 8 s
    And no promise of the cell was broken

  Scenario: A task that stopped on a worker that started again runs elsewhere
    # Guards against a task that counts as stopping for good, and never runs again.
    Given a cell of 3 instances and 3 workers that state no birth
    And workers that ignore acknowledgements of ends that are still to come
    When a job "eb01" of 2 steps of 9 tasks is handed in
    Then the job "eb01" is shown as completed within 8 s
    When every worker starts again under its id after 1 s
    And 3 s pass in the cell
    Given a lasting job "eb02" of 2 tasks is at work
    When a busy worker drains
    And 4 s pass in the cell
    Then 2 tasks of "eb02" are at work
    And nothing runs on the draining worker
    And no promise of the cell was broken

  Scenario: A start that the new incarnation carries out late is settled first
    # Guards against a task that runs twice: its start to the earlier incarnation is
    # carried out by the new one while the task already runs elsewhere.
    Given a cell of 3 instances and 2 workers
    And tasks take 3 s
    When starts are carried out 0.6 s late from now on
    And a job "ed01" of 1 steps of 4 tasks is handed in
    And 0.1 s pass in the cell
    And every worker starts again under its id after 0 s
    And 0.2 s pass in the cell
    And orders are carried out at once again
    Then the job "ed01" is shown as completed within 15 s
    And no promise of the cell was broken

  Scenario Outline: A late copy of a start that was answered is settled, too: <work_s> s of work
    # Guards against a task that runs twice, or again after its end: the earlier
    # incarnation would have refused the copy.
    Given a cell of 3 instances and 2 workers
    And tasks take <work_s> s
    When starts are carried out 3 s late from now on
    And a job "ed07" of 1 steps of 4 tasks is handed in
    And 0.2 s pass in the cell
    And orders are carried out at once again
    And 1.4 s pass in the cell
    And every worker starts again under its id after 0 s
    And 4 s pass in the cell
    Then the job "ed07" is shown as completed within 20 s
    And no promise of the cell was broken
    And no capacity is reserved on any worker

    Examples:
      | work_s |
      | 6      |
      | 0.3    |

  Scenario: A late copy is settled soon although the first stop of it is lost
    # Guards against a task that runs again after its end: the copy arrives before the
    # lost stop counts as unanswered.
    Given a cell of 3 instances and 2 workers
    And tasks take 0.3 s
    When starts are carried out 3 s late from now on
    And a job "ed20" of 1 steps of 4 tasks is handed in
    And 0.2 s pass in the cell
    And orders are carried out at once again
    And 2.2 s pass in the cell
    And no worker writes its entry from now on
    And every worker starts again under its id after 0 s
    And the first stops are lost
    And 4 s pass in the cell
    And the workers write their entries again
    Then the job "ed20" is shown as completed within 20 s
    And no promise of the cell was broken

  Scenario: A stop that was answered has no further copies
    # Guards against workers that are sent calls without need.
    Given a cell of 3 instances and 2 workers
    And tasks take 0.3 s
    When starts are carried out 3 s late from now on
    And a job "ed21" of 1 steps of 4 tasks is handed in
    And 0.2 s pass in the cell
    And orders are carried out at once again
    And 1.4 s pass in the cell
    And every worker starts again under its id after 0 s
    And 4 s pass in the cell
    Then the holder sent at most 4 stops

  Scenario: A task waits until the late copy of its start is settled
    # Guards against a task that runs twice: the worker can be asked, but not ordered.
    Given a cell of 3 instances and 4 workers
    And tasks take 6 s
    When starts are carried out 3 s late from now on
    And a job "ed12" of 1 steps of 2 tasks is handed in
    And 0.2 s pass in the cell
    And orders are carried out at once again
    And 1.4 s pass in the cell
    And stops are lost from now on
    And no worker writes its entry from now on
    And every busy worker starts again under its id after 0 s
    And 4 s pass in the cell
    And the workers write their entries again
    And orders are carried out at once again
    Then the job "ed12" is shown as completed within 25 s
    And no promise of the cell was broken

  Scenario: A late copy is settled although the store does not answer
    # Guards against a task that runs again after its end: the stop would wait for the
    # record of a decision.
    Given a cell of 3 instances and 2 workers
    And tasks take 0.3 s
    When starts are carried out 3 s late from now on
    And a job "ed09" of 1 steps of 4 tasks is handed in
    And 0.2 s pass in the cell
    And orders are carried out at once again
    And 1.5 s pass in the cell
    And a job "ed10" of 1 steps of 1 tasks is handed in
    And the store is silent for the holder only
    And 0.1 s pass in the cell
    And every worker starts again under its id after 0 s
    And 8 s pass in the cell
    Then the job "ed09" is shown as completed within 20 s
    And no promise of the cell was broken

  Scenario: A start that is under way when the worker starts again twice is settled
    # Guards against a task that runs twice: the copy outlives two incarnations.
    Given a cell of 3 instances and 4 workers
    And tasks take 6 s
    When starts are carried out 3 s late from now on
    And a job "ed08" of 1 steps of 2 tasks is handed in
    And 0.1 s pass in the cell
    And no worker writes its entry from now on
    And every worker with a start under way starts again
    And orders are carried out at once again
    And 2 s pass in the cell
    And the same workers start again
    And 4 s pass in the cell
    And the workers write their entries again
    Then the job "ed08" is shown as completed within 20 s
    And no promise of the cell was broken

  Scenario: The holder knows at once that a worker has started again
    # Guards against late starts that the new incarnation carries out meanwhile: the
    # answer to a report that waits for an end would tell only after the wait.
    Given a cell of 3 instances and 2 workers
    And a lasting job "ed14" of 4 tasks is at work
    When no worker writes its entry from now on
    And every worker starts again under its id after 0 s
    And 0.4 s pass in the cell
    Then the holder knows the new incarnations

  Scenario: A task runs on while late renewals to the earlier incarnation prolong its lease
    # Guards against a task that runs twice: the lease of a silent worker counts as over
    # before it is, for the new incarnation carries out what the earlier one was sent.
    Given a cell of 3 instances and 2 workers
    And tasks take 40 s
    When 5 s pass in the cell
    And reports are carried out 8 s late from now on
    And 1 s pass in the cell
    And every worker starts again under its id after 0 s
    And orders are carried out at once again
    And a job "ed17" of 1 steps of 1 tasks is handed in
    And 0.5 s pass in the cell
    And the busy worker is out of reach from now on
    And 20 s pass in the cell
    And the workers are reached again
    Then the job "ed17" is shown as completed within 90 s
    And no promise of the cell was broken

  Scenario: Late renewals prolong a lease although the worker has started again twice
    # As above, for the third incarnation: the second one was sent no renewal.
    Given a cell of 3 instances and 2 workers
    And tasks take 12 s
    When 5 s pass in the cell
    And reports are carried out 4 s late from now on
    And 1 s pass in the cell
    And reports are lost from now on
    And every worker starts again under its id after 0 s
    And 0.3 s pass in the cell
    And the same workers start again
    And orders are carried out at once again
    And a job "ed18" of 1 steps of 1 tasks is handed in
    And 1.5 s pass in the cell
    And the busy worker is out of reach from now on
    And 14 s pass in the cell
    And the workers are reached again
    Then the job "ed18" is shown as completed within 30 s
    And no promise of the cell was broken

  Scenario: The next holder knows of a lease that late renewals may prolong
    # As above, for a holder that knows from the records alone when the lease is over.
    Given a cell of 3 instances and 2 workers
    And tasks take 40 s
    When 5 s pass in the cell
    And reports are carried out 8 s late from now on
    And 1 s pass in the cell
    And every worker starts again under its id after 0 s
    And orders are carried out at once again
    And a job "ed19" of 1 steps of 1 tasks is handed in
    And 0.5 s pass in the cell
    And the busy worker is out of reach from now on
    And 1.5 s pass in the cell
    And the holder dies
    And 20 s pass in the cell
    And the workers are reached again
    Then the job "ed19" is shown as completed within 90 s
    And no promise of the cell was broken

  Scenario: A task that the new incarnation has started goes on there
    # Guards against a task that runs twice: the start was answered, by the incarnation
    # that the holder did not know yet.
    Given a cell of 3 instances and 1 workers
    And tasks take 6 s
    When reports are lost from now on
    And a job "ed02" of 1 steps of 4 tasks is handed in
    And every worker starts again under its id as the starts are sent
    And 1 s pass in the cell
    And orders are carried out at once again
    And 1.5 s pass in the cell
    Then no crash counts against "ed02", whose tasks are at work
    And the job "ed02" is shown as completed within 20 s
    And no promise of the cell was broken
    And no task was started more often than needed

  Scenario: A worker that a task crashes counts although it is back under its id
    # Guards against a task that crashes its workers without end: the worker is listed
    # all the while, and no incarnation with another id answers at its address.
    Given a cell of 3 instances and 6 workers
    And crashed workers start again under their ids after 0.5 s
    When a job "ed03" of 6 tasks is handed in, of which task 0 crashes its workers
    Then the job "ed03" is shown as failed within 20 s
    And at most 2 workers crashed
    And no promise of the cell was broken

  Scenario: Crashes of workers that are back under their ids survive changes of the holder
    # As above, for a holder that knows the earlier incarnation from the records alone.
    Given a cell of 3 instances and 6 workers
    And crashed workers start again under their ids after 0.5 s
    When a job "ed16" of 6 tasks is handed in, of which task 0 crashes its workers
    And the holder dies soon after each crash, 4 times
    Then the job "ed16" is shown as failed within 40 s
    And no promise of the cell was broken

  Scenario: A write of the earlier incarnation that takes effect late changes nothing
    # Guards against runs that are released although their worker goes on.
    Given a cell of 3 instances and 2 workers
    When every worker starts again under its id after 0.2 s
    And 2 s pass in the cell
    Given a lasting job "ed04" of 4 tasks is at work
    When 1 s pass in the cell
    And the entries of the earlier incarnations are written again
    And 2 s pass in the cell
    Then 4 tasks of "ed04" are at work
    And no task was started more often than 1 time
    And no promise of the cell was broken

  Scenario: A late write of an incarnation that the holder never knew changes nothing
    # As above, after a change of the holder.
    Given a cell of 3 instances and 2 workers
    When every worker starts again under its id after 0.2 s
    And 2 s pass in the cell
    When the holder dies
    Then another instance holds the cell within 4 s
    When 2 s pass in the cell
    Given a lasting job "ed13" of 4 tasks is at work
    When 1 s pass in the cell
    And the entries of the earlier incarnations are written again
    And 2 s pass in the cell
    Then 4 tasks of "ed13" are at work
    And no task was started more often than 1 time
    And no promise of the cell was broken

  Scenario: A worker whose clock was set back is known by its reports
    # Guards against a worker that is never used again, and against runs that are
    # released when a late write names the earlier incarnation, of the later birth.
    Given a cell of 3 instances and 2 workers
    When every worker starts again, 5 s before its earlier birth by its clock
    And 2 s pass in the cell
    And every worker writes its entry
    Given a lasting job "ed11" of 4 tasks is at work
    When 1 s pass in the cell
    And the entries of the earlier incarnations are written again
    And 2 s pass in the cell
    Then 4 tasks of "ed11" are at work
    And no task was started more often than 1 time
    And no promise of the cell was broken

  Scenario Outline: A worker may be of another kind when it starts again: <detected>
    # Guards against starts beyond the capacity of the new incarnation.
    Given a cell of 3 instances and 1 workers
    And a lasting job "ed05" of 3 tasks is at work
    When 1 s pass in the cell
    And every worker starts again with 5000 millicores, <detected>
    And 3 s pass in the cell
    Then 1 tasks of "ed05" are at work
    And no promise of the cell was broken

    Examples:
      | detected                     |
      | and the list tells it first  |
      | and a report tells it first  |

  Scenario: Records without births are read, and the work goes on
    # Guards against work that is lost or doubled while instances are upgraded: older
    # ones store no births.
    Given a cell of 3 instances and 4 workers
    And tasks take 6 s
    When a job "ed06" of 1 steps of 4 tasks is handed in
    And 2 s pass in the cell
    And the stored births are removed
    And the holder dies
    Then the job "ed06" is shown as completed within 20 s
    And no promise of the cell was broken
    And no task was started more often than needed

  Scenario: A run of a record without births counts no crash when the birth is learned
    # Guards against jobs that are given up because instances were upgraded.
    When a holder inherits a run on "w1", whose birth is not stored
    And "w1" of birth 20 is listed, and reports no run
    Then its task waits for a worker, and no crash counts against it

  Scenario: A birth is stored when it changes, and deleted with its worker
    # Guards against slow links that are filled by births in records that every instance
    # reads, so that starts get no answer in time.
    Given a cell of 3 instances and 4 workers
    When a job "ed15" of 2 steps of 6 tasks is handed in
    Then the job "ed15" is shown as completed within 8 s
    And 4 births were stored, and 0 deleted
    When every worker starts again under its id after 0.2 s
    And 3 s pass in the cell
    Then 8 births were stored, and 0 deleted
    When the worker "w0" leaves
    And 16 s pass in the cell
    Then 8 births were stored, and 1 deleted
    When the worker "w1" leaves
    And the holder dies
    Then another instance holds the cell within 4 s
    When 2 s pass in the cell
    Then 8 births were stored, and 2 deleted

  Scenario: Records of runs are as small as without births
    # Guards against slow links that are filled by records, so that starts get no answer.
    When a job's progress is stored with 20 runs on workers born within 300 ms
    Then the record has 350 bytes, as without births

  Scenario: Records name the incarnation of each run and of each crash
    When a job's progress is stored with a run and a crash on two incarnations of "w1"
    Then the restored job names the same incarnations
    And an older instance reads "w1" and "w2"

  Scenario: The record of expiring leases names incarnations
    Then the leases of "w1" of birth 7 and of "w2" of no known birth are read as written
    And a record of an older instance applies to every incarnation of "w2"

  Scenario: An acknowledgement is only sent over the connection of the last report
    # Guards against an end that is dropped unread: a new connection may lead to another
    # incarnation.
    Given a server that closes its connection after each second response
    When 5 reports are requested that acknowledge end 7
    Then the acknowledgements were sent as 0, 7, 0, 7, 0
    And the reports over new connections did not wait for an end

  Scenario: A worker that closes each connection is not asked without a pause
    # Guards against a holder that is busy with one worker: over a new connection the
    # worker answers at once.
    Given a cell of 3 instances and 1 workers
    When the worker closes its connection after each report
    And 3 s pass in the cell
    Then the worker was asked for at most 12 reports in that time

  Scenario Outline: A report with <what> is not understood, and the holder goes on
    # Guards against a holder that ends its term because of one worker's answer.
    Given a worker that answers a report with <what>
    When its report is requested
    Then the worker counts as not answering, which is logged

    Examples:
      | what                       |
      | a birth that is a text     |
      | a birth that is null       |
      | a birth that is a fraction |

  Scenario Outline: A report under birth <listed> that states <stated> is from <sender>
    Then a report to birth <listed> that states <stated> is from the "<sender>" incarnation

    Examples:
      | listed | stated | sender    |
      | 5      | 5      | addressed |
      | 5      | 6      | successor |
      | 5      | 4      | successor |
      | 0      | 0      | addressed |
      | 0      | 6      | unknown   |
      | 5      | 0      | unknown   |

  Scenario Outline: A random walk with workers that start again and seed <seed>
    Given a random walk with workers that start again and seed <seed>
    Then no promise of the cell was broken
    And every accepted job reached a final status
    And workers started again under their ids, and unsettled starts were stopped

    Examples:
      | seed |
      | 510  |
      | 518  |
      | 557  |
