Feature: What callers get under load, by the decisions alone
  The scheduler is played against a load in simulated time. Each figure is given with
  and without the decision that it proves.

  Scenario: A queue that is too long serves those that can still be on time
    # Batch users hand in half as much again as the workers can do. In the order of due
    # times alone, the first in line are those that are just too late, and serving them
    # makes everyone behind them late as well: 16 of 60 on time, against 43.
    Given 4 workers of 16 cores
    When 60 batch jobs of 8 x 2 cores for 2 s at 3 a second
    Then at least 40 of them are on time
    And by due times alone at most 18 of them are on time

  Scenario: Urgent jobs find room among tasks that last
    # A dispatcher waits at the depot: lasting tasks hold all processors for minutes, and
    # nothing ends. Without making room none of the ten checks is done at all; with it, nine
    # of ten are on time.
    Given 4 workers of 16 cores
    And lasting tasks of 4 cores fill them
    When 10 urgent jobs of 4 x 2 cores for 1 s at 1 a second
    Then at least 8 of them are on time
    And without making room none of them is done
    And no more than 5 lasting tasks were ever away

  Scenario: Which fillers disturb which serving image is learned within 20 s
    # A new holder begins with nothing known. Until it knows the pairs, it either leaves
    # processors idle or harms the serving tasks.
    Given an emulated day with seed 3 and fillers that all disturb somebody
    When 20 s of it pass
    Then at least 38 of 45 pairs of images are told right

  Scenario: Serving tasks that the same fillers disturb are brought together
    # Overnight jobs wait while a third of the processors is spare: nearly every worker has
    # one sensitive serving task among tolerant ones, which closes it to most fillers.
    # Without exchanges no spare core is open to the average filler after 40 s, with
    # them 59 are.
    Given an emulated day with seed 2 and fillers that all disturb somebody
    When 40 s of it pass
    Then more than 40 spare cores are open to fillers
    And without exchanges fewer than 15 are
    And fillers kept no serving task over its target for 4 s

  Scenario: Fillers use the slack that a serving image has while its users are few
    # Every filler disturbs every serving image. The load of a serving job's users swings;
    # while it is low, a filler beside it harms nobody. Batch callers get 0.19 of what they
    # are owed, and nothing if fillers wait for a place where they disturb nobody.
    Given an emulated day with seed 4 where all fillers disturb all serving images
    When 30 s of it pass
    Then batch callers get at least 0.14 of what they are owed
    And no more than 0.02 if fillers wait for workers where they disturb nobody
    And fillers kept no serving task over its target for 4 s

  Scenario: A step that may run on few workers hides no room from others
    # A batch job waits beside free workers: in the same decision, a step with advice found
    # both of its workers full, and whatever asks for as much was taken to have no room.
    Given 4 workers of 16 cores
    And advice for a queue names two workers that are full
    When a job of that queue and a plain one of the same size are handed in
    Then the plain job is at work

  Scenario: A task that comes back to its reserved room counts for its step's limit
    # Two watchers of one calendar sat on one worker that may have one: one came back where
    # its room was reserved, and the other was placed in the same decision without seeing it.
    Given 4 workers of 16 cores
    When two tasks that may not share a worker wait, one with its room reserved
    Then no worker has more than one of them

  Scenario Outline: Tasks that may run only in a few places change none: <what>
    # A watcher of a queue with advice ran where the queue's policy does not allow it, after
    # it had changed places with another task.
    Given an emulated day with seed 2 and fillers that all disturb somebody
    And its serving jobs are of a queue with <what>
    When 25 s of it pass
    Then <count> exchanges were made

    Examples:
      | what      | count   |
      | no bounds | some    |
      | advice    | no      |

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

  Scenario: A task that may not start beside its own stray run hides no room from others
    # A caller sees a job wait beside a free worker: a late order had started another job's task
    # there again, that task may not go there until the stray run has ended, and whatever asks
    # for as much was taken to have no room, also the other tasks of its step.
    Given 4 workers of 16 cores
    When only the worker with a stray run of a waiting task has room, and another job waits
    Then the other task of its step is at work
    And the other job is at work

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

  Scenario: Every task of a lasting job that fills is at work in a free cell
    # Three of four tasks of a standing job stay away for good in a cell without a reserved
    # processor: one task at work was taken to be enough for their job, and each new job of
    # others put the first one off.
    Given 4 workers of 16 cores
    And fillers of other jobs use all spare processors for 90 s
    When a lasting filling job of 4 x 5650 thousandths of a core is handed in
    And newer jobs are handed in for 12 s
    Then 4 of its tasks are at work
