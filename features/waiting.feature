Feature: A job that waits says why, and none waits beside room
  Reasons for a wait, starts at a low pace, advice and late jobs, and lasting tasks that
  made room, by the decisions alone in simulated time.

  Scenario Outline: A job that does not run says what it waits for: <reason>
    # A caller asks why a job stood still for a minute. Starts leave lines in the log; a
    # job that is never started left none.
    Given 4 workers of 16 cores
    When a job waits in a cell where <case> for 6 s
    Then its wait is noted once, with the reason <reason>

    Examples:
      | case                                       | reason       |
      | no worker has its label                    | no_worker    |
      | nobody answers its question for advice     | no_advice    |
      | lasting tasks hold all processors          | no_room      |
      | fillers use all spare processors           | no_spare     |
      | it would disturb whoever serves there      | disturbs     |
      | fewer workers are free than it has members | gang_no_room |

  Scenario: Many jobs that wait do not fill the log
    # A queue of hundreds of jobs waits behind a full cell: a line of each, ten times a
    # second, would cost more than the decisions.
    Given 4 workers of 16 cores
    And lasting tasks of 4 cores fill them
    When 30 batch jobs wait for 20 s
    Then every one of them has said why it waits
    And no decision said more than 3 and no job more than once in 5 s

  Scenario: A job starts although fillers use all spare processors of a free cell
    # A caller sees a job of 6 tasks stand still while most of the workers' room is free
    # (seen: accepted at 57.5 s, begun at 126.9 s). Other fillers, which reserve nothing,
    # leave no processor to spare on the worker that is best for it; the search ends there,
    # and the start at a low pace, meant for such jobs, is not tried.
    Given 4 workers of 16 cores
    And fillers of other jobs use all spare processors for 20 s
    When a filling job of 6 x 5650 thousandths of a core is handed in
    Then it has a task at work within 3 s
    And it works at no more than 10 % of its speed while the others work
    And it works at full speed once they are done

  Scenario: A filler starts elsewhere when the rack of its data has no spare processors
    # A caller sees a job wait while three of four workers stand idle: the best worker is the
    # one next to the data, other fillers use its processors, and the search ends there.
    Given 4 workers of 16 cores
    And fillers use the processors of the only worker in the rack of some data
    When a filling job with that data is handed in
    Then it has a task at work within 1 s

  Scenario: A job starts in a free service although another service is full
    # A caller sees a filling job wait in a service where nothing is reserved: the workers of
    # the other service are full, and together they make the cell look used.
    Given 4 workers of 16 cores
    And 12 workers of another service that lasting tasks fill
    And fillers of other jobs use all spare processors for 20 s
    When a filling job of 6 x 5650 thousandths of a core is handed in
    Then it has a task at work within 3 s

  Scenario: A filling gang starts although it disturbs whoever serves
    # A caller sees a gang of fillers wait for ever in a cell that is mostly free: every worker
    # serves an image that it disturbs, and only single tasks are started at a low pace.
    Given 4 workers of 16 cores
    And a serving task of 4 cores on each of them
    When a filling gang of 4 x 14 cores is handed in
    Then it has a task at work within 3 s
    And all of its 4 tasks began at a low pace

  Scenario: A filler that starts at a low pace carries its ticket
    # A caller sees a job of a queue with advice wait for ever: each start at a low pace went
    # out without the ticket, was refused, and the advice was dropped and asked for again.
    Given 4 workers of 16 cores
    And a serving task of 4 cores on each of them
    When a filler of 14 cores of an advised queue is handed in
    Then it has a task at work within 3 s
    And its start carries a ticket

  Scenario: Advice is asked on every worker before a job is given up
    # A caller sees a job of a queue with advice wait for ever beside free workers: a question
    # names 24 workers, those were not allowed, and the next question named the same.
    Given 40 workers of 16 cores
    And advice allows only the worker that was listed last
    When a job of a queue with advice is handed in
    Then it has a task at work within 2 s
    And no worker was asked about twice

  Scenario: A filler that starts at a low pace keeps to its step's limit for one worker
    # A user sees two tasks on one worker that may have one: with more tasks than workers, the
    # last one waited for 6 s and then started beside another of its step.
    Given 4 workers of 16 cores
    When a filling step of 5 tasks, of which a worker may have 1, waits for 10 s
    Then no worker has more than 1 of its tasks
    And 4 of its tasks are at work

  Scenario: A late job gives way while callers hand in newer ones, and no longer
    # Callers of an overloaded cell get a tenth less of what they are owed when every job that
    # is too late for its objective gets a task at work beside those that can be on time. Once
    # no more come, a job that still has nothing at work would look lost.
    Given 4 workers of 16 cores
    And fillers of other jobs use all spare processors for 20 s
    When a filling job of 6 x 5650 thousandths of a core is handed in
    And newer jobs are handed in for 8 s
    Then it has nothing at work
    But it has a task at work within 4 s

  Scenario: A late job does not wait for ever while newer ones trickle in
    # A batch of last night has not begun by noon. Fillers use all processors, a new job is
    # handed in every other second, and the late one gives way to each of them.
    Given 4 workers of 16 cores
    And fillers of other jobs use all spare processors for 90 s
    When a filling job of 6 x 5650 thousandths of a core is handed in
    And newer jobs are handed in for 34 s
    Then it has a task at work within 1 s

  Scenario: Lasting tasks that made room for urgent ones are back within 6 s
    # A standing calendar watch is not kept in step for fifteen seconds beside free room. It
    # was stopped to make room for an urgent check, and all urgent checks that came later,
    # also those too late to be worth anything, were placed before it.
    # Evidence: on such a day a task was stopped for "makes_room" at 13.3 s and started again
    # at 27.5 s, while up to 119 urgent tasks waited; up to 130 lasting tasks of 1,370 did.
    Given 8 workers of 32 cores
    And lasting tasks of 8 cores fill them but for a quarter
    When urgent jobs of 4 x 8 cores come 3 times a second for 30 s
    Then no lasting task was away for longer than 6 s
    And lasting tasks made room for urgent jobs

  Scenario: Lasting tasks of a lower priority that made room are back within 6 s
    # Guards against starvation of lasting tasks while jobs of higher priority arrive.
    Given 8 workers of 32 cores
    And lasting tasks of 8 cores and priority 2 fill them but for a quarter
    When urgent jobs of 4 x 8 cores come 3 times a second for 30 s
    Then no lasting task was away for longer than 6 s
    And lasting tasks made room for urgent jobs

  Scenario: Every task of a lasting job that fills is at work in a free cell
    # Three of four tasks of a standing job stay away for good in a cell without a reserved
    # processor: one task at work was taken to be enough for their job, and each new job of
    # others put the first one off.
    Given 4 workers of 16 cores
    And fillers of other jobs use all spare processors for 90 s
    When a lasting filling job of 4 x 5650 thousandths of a core is handed in
    And newer jobs are handed in for 12 s
    Then 4 of its tasks are at work

  Scenario Outline: Nothing is stopped to start elsewhere by <view> that gets too old
    # Watchers of calendars stood still for ten seconds beside free room: they had been
    # stopped for others in the last moment in which the view was recent enough to start by,
    # and by the time they had ended nothing could start any more.
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
