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

  Scenario: Serving tasks that suit the same fillers are brought together
    # Overnight jobs wait while a third of the processors is spare: nearly every worker has
    # one sensitive serving task among tolerant ones, or one at its users' highest load
    # among idle ones, which closes it to most fillers. Without exchanges 811 cores are open
    # over a swing after 40 s of the four days, and batch callers get 0.47 of what they are
    # owed; with them 1035 cores, and 0.53.
    Given 4 emulated days with fillers that all disturb somebody
    When 40 s of each pass
    Then a fifth more cores are open to fillers over a swing than without exchanges
    And batch callers get 0.02 more of what they are owed than without exchanges
    And on no day fillers kept a serving task over its target for 4 s

  Scenario: Fillers use the slack that a serving image has while its users are few
    # Every filler disturbs every serving image. The load of a serving job's users swings;
    # while it is low, a filler beside it harms nobody. Batch callers get 0.19 of what they
    # are owed, and nothing if fillers wait for a place where they disturb nobody.
    Given an emulated day with seed 4 where all fillers disturb all serving images
    When 30 s of it pass
    Then batch callers get at least 0.14 of what they are owed
    And no more than 0.02 if fillers wait for workers where they disturb nobody
    And fillers kept no serving task over its target for 4 s

  Scenario: In a full cell callers get most for the work that is left
    # Half as much again comes as fits. In the order of due times many jobs are begun and few
    # end: batch callers get 0.42 of what they are owed after 40 s of the four days, by worth
    # for the work that is left 0.50. The largest jobs are served no less for that.
    Given 4 emulated days with more for fillers than fits
    When 40 s of each pass
    Then batch callers get 0.02 more of what they are owed than in the order of due times
    And the largest tenth of the batch jobs is served no less than in the order of due times
    And on no day fillers kept a serving task over its target for 4 s

  Scenario: Fillers that end wait for a place that leaves them their speed
    # Overnight jobs that find no free place begin at a quarter of their speed, keep that
    # place for four times as long, and those that come next find it taken: batch callers get
    # 0.50 of what they are owed after 40 s of the four days. When they wait instead, 0.53.
    Given 4 emulated days with fillers that disturb most images
    When 40 s of each pass
    Then batch callers get 0.02 more of what they are owed than with slow starts

  Scenario: A full cell does not look at every worker for each step that finds no place
    # Urgent tasks start late because the decision before takes a tenth of a second: 246
    # workers are scored for each of dozens of steps, 4061 times in a decision. Now 809 times.
    Given an emulated day of 246 workers with more for fillers than fits
    When 12 s of it pass
    Then a decision scores no more than 5 times as many places as there are workers

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

  Scenario Outline: No task changes places while a lasting one finds no room: <what>
    # Watchers of calendars stood still for 11 s beside free room, on a day on which workers
    # left and the lasting tasks filled the others. Twenty tasks at a time changed places
    # meanwhile, and each kept room on two workers: what was free was reserved. A task that
    # no worker could ever hold is no reason to leave the others where they are.
    Given an emulated day with seed 2 and fillers that all disturb somebody
    And a lasting task that needs <what> comes after 3 s
    When 25 s of it pass
    Then <count> exchanges were made after 8 s

    Examples:
      | what                     | count |
      | more than is free        | no    |
      | more than any worker has | some  |

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

  Scenario: A task that may not start beside its own stray run hides no room from others
    # A caller sees a job wait beside a free worker: a late order had started another job's task
    # there again, that task may not go there until the stray run has ended, and whatever asks
    # for as much was taken to have no room, also the other tasks of its step.
    Given 4 workers of 16 cores
    When only the worker with a stray run of a waiting task has room, and another job waits
    Then the other task of its step is at work
    And the other job is at work

  Scenario: Tasks that crash their workers cost the others little
    # One job in fifty has a task that brings down each worker that starts it, and a third of
    # the workers hold half for a part of the time. Callers get 0.65 of what they are owed in
    # three days of 40 s if such tasks are started again for ever, and 0.71 as it is: a
    # crashing task takes two workers with it, then its job is given up.
    Given 3 emulated days with tasks that crash and workers that shrink
    When 40 s of each pass
    Then only jobs that crash workers are given up, each after 2 crashes at most
    And nothing starts on a worker that holds less by then
    And callers get 0.04 more of what they are owed than without giving up

  Scenario: What runs in an evacuated data centre is better left there
    # Watchers stand still while their data centre is emptied, though nothing forces them to
    # leave, and then crowd the others. Callers get 0.81 of what they are owed in two days of
    # 40 s in which a data centre is evacuated half of the time, and 0.77 if lasting tasks
    # leave at once.
    Given 2 emulated days with data centres that are evacuated
    When 40 s of each pass
    Then nothing starts in an evacuated data centre
    And callers get 0.02 more of what they are owed than with lasting tasks moved out
