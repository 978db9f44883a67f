Feature: Batch work under pressure
  Cancellations, quotas, faulty workers, failing tasks and evictions.

  Scenario: A wave of cancellations frees all capacity and starves no other job
    Given 3 entry instances and 4 workers
    And 30 jobs of 4 tasks of 60 s are submitted
    And a job "archive" of 8 tasks of 1 s is submitted to "e0"
    When the 30 jobs are cancelled at once
    Then no attempt of the 30 jobs runs within 10 s
    And the job "archive" of 8 tasks is done within 20 s
    And no promise was broken

  Scenario: A team's tasks never hold more than its quota
    Given 3 entry instances and 4 workers
    And a quota of 6000 CPU millis for the team "archive"
    When a job "archive" of 20 tasks of 1 s is submitted to "e0"
    Then at no moment do more than 6 of its tasks run
    And the job "archive" is done within 60 s

  # Guards against a worker that fails everything at once and therefore attracts all the
  # work.
  Scenario: A worker that fails whatever it starts stops getting work
    Given 3 entry instances and 4 workers
    And the worker "w1" fails whatever it starts
    When a job "archive" of 40 tasks of 1 s is submitted to "e0"
    Then the job "archive" is done within 90 s
    And at most 16 attempts failed on "w1"

  # Guards against a job that can never be done and has all workers avoided, one after the
  # other, for longer each time.
  Scenario: A job that fails everywhere takes no worker from the others
    Given 3 entry instances and 4 workers
    And the job "broken" fails on every worker
    When a job "broken" of 60 tasks of 0.5 s is submitted to "e0"
    And 3 s pass
    And a job "archive" of 8 tasks of 1 s is submitted to "e0"
    Then the job "archive" is done within 6 s
    And no worker is avoided

  Scenario: A task that fails everywhere ends as failed after three attempts
    Given 2 entry instances and 4 workers
    And every worker fails whatever it starts
    When a job "broken" of 2 tasks of 1 s is submitted to "e0"
    Then the job "broken" is over with 2 tasks "failed" within 60 s
    And at most 6 attempts began

  # Guards against work that is lost again and again, on one worker after the other: a
  # task crashes its worker as it starts; the worker is back without the task; the owner
  # finds the attempt gone and starts the next. Counting only the attempts that a worker
  # reports as failed misses these.
  Scenario: A task that crashes its workers ends as failed after four attempts
    Given 3 entry instances and 4 workers
    And the first task of the job "broken" crashes its workers
    When a job "broken" of 1 tasks of 1 s is submitted to "e0"
    Then the job "broken" is over with 1 tasks "failed" within 60 s
    And at most 4 attempts began
    And no promise was broken

  # Guards against the same failure while instances come and go: the owner dies between
  # the attempts, and its successor takes the job over. The number of failures must not
  # be known to the owner alone. The next decider asks the workers of the dead owner's
  # deciders for their inventory, which is empty: nobody can tell that an attempt was
  # lost with such a worker. That allows one more attempt for each owner.
  Scenario Outline: The failures of a task that <does> outlive its owners
    Given 3 entry instances and 4 workers
    And <what>
    When a job "broken" of 1 tasks of 1 s is submitted to "e0"
    And the owner of "broken" dies after each of the first 2 attempts
    Then the job "broken" is over with 1 tasks "failed" within 60 s
    And at most <most> attempts began
    And no promise was broken

    Examples:
      | does                  | what                                                  | most |
      | crashes its workers   | the first task of the job "broken" crashes its workers | 6    |
      | fails on each worker  | every worker fails whatever it starts                  | 3    |

  # Guards against a long job that fails in a data centre whose workers are replaced now
  # and then, although each attempt ran for long.
  Scenario: Attempts that ran for long before their worker was lost do not count
    Given 3 entry instances and 4 workers
    And a job "archive" of 1 tasks of 60 s is submitted to "e0"
    When its worker loses everything after each of 5 attempts has run for 32 s
    Then the job "archive" is done within 90 s

  # Guards against a service that is added and confirmed and answers no request: its
  # workers are full of batch tasks; those are evicted, but its slots are not considered
  # again before the next change.
  Scenario: Room for a service is made by evicting the cheapest tasks first
    Given 2 entry instances and 2 workers
    And 1 s pass
    And a job "watchers" of 6 costly tasks of 30 s is submitted to "e0"
    And all 6 attempts run
    And 10 more tasks of 30 s that are cheap to evict fill the workers
    When an operator adds a service that needs half of each worker
    Then its slots open within 10 s
    And none of the costly tasks was stopped
    And no promise was broken

  # Guards against a worker that runs out of memory after a service is removed: requests
  # of the service are in flight, the service is removed, and batch work is waiting for
  # its capacity. The worker itself does not check. The capacity of a removed service
  # must not become free at once.
  Scenario Outline: A removed service keeps its room while requests are in flight
    Given 2 entry instances and 2 workers
    And a service "checks" that fills its workers
    And 8 requests to "checks" that take 6 s are in flight
    When an operator removes the service "checks"
    And <event>
    And a job "archive" of 16 tasks of 1 s is submitted to "e0"
    Then the job "archive" is done within 30 s
    And no promise was broken

    Examples:
      | event               |
      | 1 s pass            |
      | instance "e1" dies  |

  # Guards against a task that is reported as running and never ends: the start, or its
  # answer, is lost, and renewals go on. A renewal must not postpone the moment at which
  # a lost start is settled, and a successor must not be told that the attempt runs.
  Scenario Outline: A start that is <fault> is settled soon and runs once
    Given 2 entry instances and 2 workers
    And 1 s pass
    When the next start is <fault>
    And a job "archive" of 1 tasks of 1 s is submitted to "e0"
    Then the job "archive" is done within 5 s
    And at most 1 attempts began
    And no promise was broken

    Examples:
      | fault           |
      | lost on the way |
      | answer lost     |

  # Guards against a task that runs on two workers: the answer to a start is lost, the
  # start is repeated, and the repeat is refused or cannot be sent. The answer to the
  # repeat must not be taken for an answer to the first start.
  Scenario Outline: A repeated start that is <repeat> does not settle the first
    Given 2 entry instances and 2 workers
    And 1 s pass
    When the next start is answer lost
    And the start after it is <repeat>
    And a job "archive" of 1 tasks of 3 s is submitted to "e0"
    Then the job "archive" is done within 10 s
    And at most 1 attempts began
    And no promise was broken

    Examples:
      | repeat   |
      | not sent |
      | refused  |

  # Guards against a finished task that runs again on the same worker: a start's answer
  # is lost and the start repeated; the task ends and its end is acknowledged; then the
  # repeat arrives. The worker must not be told to forget the attempt before that.
  Scenario: A repeated start that arrives after the end starts nothing
    Given 2 entry instances and 2 workers
    And 1 s pass
    When the next start is answer lost
    And the start after it is late
    And a job "archive" of 1 tasks of 0.6 s is submitted to "e0"
    And 6 s pass
    Then the job "archive" is done within 1 s
    And at most 1 attempts began
    And no promise was broken

  # Guards against a cancelled task that runs after all: a start is lost, the job is
  # cancelled, and the worker refuses the stop.
  Scenario: A job that is cancelled while its start is in doubt never runs
    Given 2 entry instances and 2 workers
    And 1 s pass
    When the next start is lost on the way
    And a job "archive" of 1 tasks of 1 s is submitted to "e0"
    And the job "archive" is cancelled at "e0"
    Then the job "archive" is over with 1 tasks "cancelled" within 10 s
    And no attempt began

  # Guards against a worker that is overloaded by what is started on it: a worker's
  # capacity becomes smaller, the instance list says so, and jobs are submitted. Its
  # decider must not count with the capacity that the worker had when it was claimed.
  Scenario Outline: A worker that shrinks gets nothing beyond its capacity, <then>
    Given 2 entry instances and 2 workers
    And 1 s pass
    When the worker "w0" shrinks to 2 cores
    And <then>
    And a job "archive" of 24 tasks of 1 s is submitted to "e0"
    Then the job "archive" is done within 30 s
    And no promise was broken

    Examples:
      | then                        |
      | 1 s pass                    |
      | instance "e1" dies          |

  # Guards against the same failure while requests keep the slots of a service in use:
  # the slots fill a worker whose capacity shrinks below them. Slots that are open must
  # not stay open.
  Scenario: A worker that shrinks below its slots takes no more requests
    Given 2 entry instances and 2 workers
    And a service "checks" that fills its workers
    When the worker "w0" shrinks to 2 cores
    And 40 requests to "checks" that take 0.2 s come one after the other
    Then all of them are answered
    And no promise was broken
    When the worker "w0" grows to 8 cores
    Then its slots are open again within 3 s

  # Guards against an urgent job that waits behind a wave of batch work.
  Scenario: An urgent job starts within 2.4 s on a full data centre
    Given 3 entry instances and 4 workers
    And 1 s pass
    And 10 jobs of 4 tasks of 60 s are submitted
    And all 32 attempts run
    When an urgent job "evidence" of 6 tasks of 3 s is submitted to "e1"
    Then all 6 tasks of "evidence" run within 2.4 s
    And at most 6 attempts were stopped
    And the job "evidence" is done within 20 s
    And no promise was broken

  Scenario: An evicted task resumes from its checkpoint and finishes once
    Given 2 entry instances and 4 workers
    And a job "archive" of 2 tasks of 20 s is submitted to "e0"
    When 15 s pass
    And an operator plans at "e1" to drain the data centre
    And the operator confirms the plan at "e1"
    And 5 s pass
    And an operator ends the drain of the data centre at "e0"
    Then the job "archive" is done within 12 s
    And no promise was broken

  Scenario: A job id is accepted once, also after its job is over
    Given 3 entry instances and 4 workers
    And a job "archive" of 4 tasks of 0.5 s is submitted to "e0"
    Then the job "archive" is recorded as over within 20 s
    When a job "archive" of 4 tasks of 0.5 s is submitted to "e1"
    And 5 s pass
    Then no promise was broken
    And at most 4 attempts began

  Scenario: An at-most-once task whose worker is lost ends as unknown
    Given 2 entry instances and 2 workers
    And an at-most-once job "sync" of 2 tasks of 30 s is submitted to "e0"
    And all 2 attempts run
    When the worker "w0" dies and leaves the list
    And the worker "w1" dies and leaves the list
    Then the job "sync" is over with 2 tasks "unknown" within 60 s
    And at most 2 attempts began
