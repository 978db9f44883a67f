Feature: A waiting job reports the reason, and no job waits beside free room
  Reasons for a wait, starts at a reduced pace, advice, late jobs and preempted lasting
  tasks, with the scheduler alone in simulated time.

  Scenario Outline: A job that does not run says what it waits for: <reason>
    # A caller asks why a job did not run for a minute. Starts are logged, but a job
    # that never starts would leave no log line.
    Given 4 workers of 16 cores
    When a job waits in a cell where <case> for 6 s
    Then its wait is logged once, with the reason <reason>

    Examples:
      | case                                       | reason       |
      | no worker has its label                    | no_worker    |
      | nobody answers its question for advice     | no_advice    |
      | lasting tasks hold all processors          | no_room      |
      | fillers use all spare processors           | no_spare     |
      | it would disturb whoever serves there      | disturbs     |
      | fewer workers are free than it has members | gang_no_room |

  Scenario: Many jobs that wait do not fill the log
    # A queue of hundreds of jobs waits for room in a full cell. A log line for each of
    # them, ten times a second, would cost more than the decisions.
    Given 4 workers of 16 cores
    And lasting tasks of 4 cores fill them
    When 30 batch jobs wait for 20 s
    Then every one of them has logged why it waits
    And no decision logged more than 3 waits and no job more than one in 5 s

  Scenario: A job starts although fillers use all spare processors of a free cell
    # Guards against a job of 6 tasks that waits while most of the workers' room is
    # free, for example accepted at 57.5 s and started at 126.9 s. Other fillers, which
    # reserve nothing, use all spare CPU on the best worker for the job. If the search
    # ends there, the start at a reduced pace, which is meant for such jobs, is not
    # tried.
    Given 4 workers of 16 cores
    And fillers of other jobs use all spare processors for 20 s
    When a filler job of 6 x 5650 thousandths of a core is handed in
    Then it has a task at work within 3 s
    And it runs at no more than 10 % of its speed while the others run
    And it runs at full speed once they are done

  Scenario: A filler starts elsewhere when the rack of its data has no spare processors
    # Guards against a job that waits while three of four workers are idle. The best
    # worker is the one next to the data, and other fillers use its CPU. The search must
    # not end there.
    Given 4 workers of 16 cores
    And fillers use the processors of the only worker in the rack of some data
    When a filler job with that data is handed in
    Then it has a task at work within 1 s

  Scenario: A job starts in a free service although another service is full
    # Guards against a filler job that waits in a service where nothing is reserved. The
    # workers of the other service are full, and make the cell as a whole look used.
    Given 4 workers of 16 cores
    And 12 workers of another service that lasting tasks fill
    And fillers of other jobs use all spare processors for 20 s
    When a filler job of 6 x 5650 thousandths of a core is handed in
    Then it has a task at work within 3 s

  Scenario: A filler gang starts although it interferes with the serving tasks
    # Guards against a gang of fillers that waits forever in a mostly free cell. Every
    # worker serves an image with which the gang interferes, and starts at a reduced
    # pace must not be limited to single tasks.
    Given 4 workers of 16 cores
    And a serving task of 4 cores on each of them
    When a filler gang of 4 x 14 cores is handed in
    Then it has a task at work within 3 s
    And all of its 4 tasks started at a reduced pace

  Scenario: A filler that starts at a low pace carries its ticket
    # Guards against a job of a queue with advice that waits forever. If a start at a
    # reduced pace is sent without the ticket, it is refused, and the advice is dropped
    # and requested again.
    Given 4 workers of 16 cores
    And a serving task of 4 cores on each of them
    When a filler of 14 cores of an advised queue is handed in
    Then it has a task at work within 3 s
    And its start carries a ticket

  Scenario: Advice is asked on every worker before a job is given up
    # Guards against a job of a queue with advice that waits forever beside free
    # workers. A question names 24 workers. If those are not allowed, the next question
    # must not name the same ones.
    Given 40 workers of 16 cores
    And advice allows only the worker that was listed last
    When a job of a queue with advice is handed in
    Then it has a task at work within 2 s
    And no worker was asked about twice

  Scenario: A filler that starts at a low pace keeps to its step's limit for one worker
    # Guards against two tasks on one worker that may have one. With more tasks than
    # workers, the last one waits for 6 s and then starts beside another of its step.
    Given 4 workers of 16 cores
    When a filler step of 5 tasks, of which a worker may have 1, waits for 10 s
    Then no worker has more than 1 of its tasks
    And 4 of its tasks are at work

  Scenario: A late job gives way while callers hand in newer ones, and no longer
    # Callers of an overloaded cell receive a tenth less of the value of their jobs if
    # every job that is too late for its objective gets a running task beside those that
    # can be on time. Once no newer jobs arrive, a job with nothing running would look
    # lost.
    Given 4 workers of 16 cores
    And fillers of other jobs use all spare processors for 20 s
    When a filler job of 6 x 5650 thousandths of a core is handed in
    And newer jobs are handed in for 8 s
    Then it has nothing at work
    But it has a task at work within 4 s

  Scenario: A late job does not wait for ever while newer ones trickle in
    # Guards against starvation: a batch job of last night has not started by noon.
    # Fillers use all CPU, a new job arrives every other second, and the late one gives
    # way to each of them.
    Given 4 workers of 16 cores
    And fillers of other jobs use all spare processors for 90 s
    When a filler job of 6 x 5650 thousandths of a core is handed in
    And newer jobs are handed in for 34 s
    Then it has a task at work within 1 s

  Scenario: Lasting tasks that made room for urgent ones are back within 6 s
    # Guards against a lasting task that stays stopped for fifteen seconds beside free
    # room. It is preempted for an urgent job, and all urgent jobs that arrive later,
    # even those too late to have any value, are placed before it.
    # Example: a task is stopped for "makes_room" at 13.3 s and started again at 27.5 s
    # while up to 119 urgent tasks wait; up to 130 lasting tasks of 1,370 wait as well.
    Given 8 workers of 32 cores
    And lasting tasks of 8 cores fill all but a quarter of them
    When urgent jobs of 4 x 8 cores come 3 times a second for 30 s
    Then no lasting task was stopped for longer than 6 s
    And lasting tasks were preempted for urgent jobs

  Scenario: Lasting tasks of a lower priority that made room are back within 6 s
    # Guards against starvation of lasting tasks while jobs of higher priority arrive.
    Given 8 workers of 32 cores
    And lasting tasks of 8 cores and priority 2 fill all but a quarter of them
    When urgent jobs of 4 x 8 cores come 3 times a second for 30 s
    Then no lasting task was stopped for longer than 6 s
    And lasting tasks were preempted for urgent jobs

  Scenario: Every task of a lasting filler job is at work in a free cell
    # Guards against a lasting filler job that never gets three of its four tasks in a
    # cell without reserved CPU. This happens if one running task is taken to be enough
    # for the job, and if each new job of others delays the first task.
    Given 4 workers of 16 cores
    And fillers of other jobs use all spare processors for 90 s
    When a lasting filler job of 4 x 5650 thousandths of a core is handed in
    And newer jobs are handed in for 12 s
    Then 4 of its tasks are at work

  Scenario Outline: No task is preempted based on <view> that is about to become too old
    # Guards against lasting tasks that stay stopped for ten seconds beside free room.
    # They are stopped for others in the last moment in which the view is recent enough
    # for starts, and once they have ended nothing can start.
    Given 4 workers of 16 cores
    And lasting tasks of 4 cores fill them
    When <view> is <age> s old as an urgent job of 4 x 2 cores comes
    Then <count> lasting tasks are stopped for it

    Examples:
      | view                   | age | count |
      | the list of workers    | 1.0 | some  |
      | the list of workers    | 1.5 | no    |
      | the operator's log     | 2.0 | some  |
      | the operator's log     | 2.5 | no    |
