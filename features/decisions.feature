Feature: Scheduling decisions serve callers under load
  The scheduler alone is run against a load in simulated time. Each figure is given with
  and without the decision that it tests.

  Scenario: An overloaded queue serves the jobs that can still be on time
    # Batch callers submit half as much again as the workers can do. Ordered by due time
    # alone, the first in line are jobs that are just too late, and serving them makes
    # all jobs behind them late as well: 16 of 60 are on time, against 43.
    Given 4 workers of 16 cores
    When 60 batch jobs of 8 x 2 cores for 2 s at 3 a second
    Then at least 40 of them are on time
    And ordered by due time alone, at most 18 of them are on time

  Scenario: Urgent jobs find room among tasks that last
    # Lasting tasks hold all CPU for minutes, and none of them ends. Without preemption
    # none of the ten urgent jobs completes; with it, nine of ten are on time.
    Given 4 workers of 16 cores
    And lasting tasks of 4 cores fill them
    When 10 urgent jobs of 4 x 2 cores for 1 s at 1 a second
    Then at least 8 of them are on time
    And without preemption none of them is done
    And no more than 5 lasting tasks were ever stopped at a time

  Scenario: Which fillers interfere with which serving image is learned within 20 s
    # A new holder starts without any knowledge of interference. Until it has learned
    # the pairs, it either leaves CPU idle or harms the serving tasks.
    Given an emulated day with seed 3 and fillers that all disturb somebody
    When 20 s of it pass
    Then at least 38 of 45 pairs of images are classified correctly

  Scenario: Serving tasks that suit the same fillers are brought together
    # Batch jobs wait while a third of the CPU is spare. Nearly every worker has one
    # sensitive serving task among tolerant ones, or one at its users' peak load among
    # idle ones, which makes the worker unavailable to most fillers. Without exchanges,
    # 811 cores are open to fillers over a load period after 40 s of the four days, and
    # batch callers receive 0.47 of the value of their jobs; with exchanges, 1035 cores
    # and 0.53.
    Given 4 emulated days with fillers that all disturb somebody
    When 40 s of each pass
    Then a fifth more cores are open to fillers over a load period than without exchanges
    And batch callers receive 0.02 more of the value of their jobs than without exchanges
    And on no day fillers kept a serving task over its target for 4 s

  Scenario: Fillers use the slack that a serving image has while its users are few
    # Every filler interferes with every serving image. The load of a serving job's
    # users oscillates; while it is low, a filler beside the job harms nobody. Batch
    # callers receive 0.19 of the value of their jobs, and nothing if fillers wait for a
    # worker where they interfere with no task.
    Given an emulated day with seed 4 where all fillers interfere with all serving images
    When 30 s of it pass
    Then batch callers receive at least 0.14 of the value of their jobs
    And no more than 0.02 if fillers wait for workers where they interfere with no task
    And fillers kept no serving task over its target for 4 s

  Scenario: In a full cell jobs are ordered by value per remaining work
    # Half as much again is submitted as fits. Ordered by due time, many jobs start and
    # few complete: batch callers receive 0.42 of the value of their jobs after 40 s of
    # the four days, and 0.50 if jobs are ordered by value per remaining work. The
    # largest jobs are served no less for that.
    Given 4 emulated days with more for fillers than fits
    When 40 s of each pass
    Then batch callers receive 0.02 more of the value of their jobs than in the order of due times
    And the largest tenth of the batch jobs is served no less than in the order of due times
    And on no day fillers kept a serving task over its target for 4 s

  Scenario: Finite fillers wait for a worker that runs them at full speed
    # If batch jobs that find no free worker start at a quarter of their speed, they
    # occupy that place for four times as long, and later jobs find it taken: batch
    # callers receive 0.50 of the value of their jobs after 40 s of the four days. If
    # they wait instead, 0.53.
    Given 4 emulated days with fillers that disturb most images
    When 40 s of each pass
    Then batch callers receive 0.02 more of the value of their jobs than with slow starts

  Scenario: A full cell does not score every worker for each step that finds no room
    # Guards against urgent tasks that start late because the previous decision takes a
    # tenth of a second. Scoring all 246 workers for each of dozens of steps takes 4061
    # scores in a decision; the limited search takes 809.
    Given an emulated day of 246 workers with more for fillers than fits
    When 12 s of it pass
    Then a decision scores no more than 5 times as many places as there are workers

  Scenario: A step that may run on few workers hides no room from others
    # Guards against a batch job that waits beside free workers. If a step with advice
    # finds both of its workers full, other steps that ask for as much must not be taken
    # to have no room in the same decision.
    Given 4 workers of 16 cores
    And advice for a queue names two workers that are full
    When a job of that queue and a plain one of the same size are handed in
    Then the plain job is at work

  Scenario: A task that comes back to its reserved room counts for its step's limit
    # Guards against two tasks of a step on one worker that may have one. One task
    # returns to the room reserved for it, and the other is placed in the same decision
    # without taking the first into account.
    Given 4 workers of 16 cores
    When two tasks that may not share a worker wait, one with its room reserved
    Then no worker has more than one of them

  Scenario Outline: No tasks are exchanged while a lasting one finds no room: <what>
    # Guards against lasting tasks that stay stopped for 11 s beside free room on a day
    # on which workers leave and the lasting tasks fill the others. Twenty tasks at a
    # time are exchanged meanwhile, and each keeps room on two workers, so all free room
    # is reserved. A task that no worker could ever hold is no reason to leave the
    # others where they are.
    Given an emulated day with seed 2 and fillers that all disturb somebody
    And a lasting task that needs <what> comes after 3 s
    When 25 s of it pass
    Then <count> exchanges were made after 8 s

    Examples:
      | what                     | count |
      | more than is free        | no    |
      | more than any worker has | some  |

  Scenario Outline: Tasks that may run only on some workers are not exchanged: <what>
    # Guards against a task of a queue with advice that runs on a worker which the
    # queue's policy does not allow, after it was exchanged with another task.
    Given an emulated day with seed 2 and fillers that all disturb somebody
    And its serving jobs are of a queue with <what>
    When 25 s of it pass
    Then <count> exchanges were made

    Examples:
      | what      | count   |
      | no bounds | some    |
      | advice    | no      |

  Scenario: A task that may not start beside its own stray run hides no room from others
    # Guards against a job that waits beside a free worker. A late order has started
    # another job's task there again, and that task may not go there until the stray run
    # has ended. Steps that ask for as much, and the other tasks of its own step, must
    # not be taken to have no room.
    Given 4 workers of 16 cores
    When only the worker with a stray run of a waiting task has room, and another job waits
    Then the other task of its step is at work
    And the other job is at work

  Scenario: Tasks that crash their workers cost the others little
    # One job in fifty has a task that crashes each worker that starts it, and a third
    # of the workers have half of their capacity for a part of the time. Callers receive
    # 0.65 of the value of their jobs in three days of 40 s if such tasks are started
    # again without limit, and 0.71 with the limit: a crashing task takes two workers
    # with it, then its job fails.
    Given 3 emulated days with tasks that crash and workers that shrink
    When 40 s of each pass
    Then only jobs that crash workers are given up, each after 2 crashes at most
    And nothing starts on a worker that has become too small
    And callers receive 0.04 more of the value of their jobs than without giving up

  Scenario: Tasks that run in an evacuated data centre are left there
    # Guards against lasting tasks that stop because their data centre is evacuated,
    # although nothing forces them to leave, and then crowd the other data centres.
    # Callers receive 0.81 of the value of their jobs in two days of 40 s in which a
    # data centre is evacuated half of the time, and 0.77 if lasting tasks leave at
    # once.
    Given 2 emulated days with data centres that are evacuated
    When 40 s of each pass
    Then nothing starts in an evacuated data centre
    And callers receive 0.02 more of the value of their jobs than with lasting tasks moved out
