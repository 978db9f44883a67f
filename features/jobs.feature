Feature: Batch work under pressure
  Cancellations, quotas, sick workers, tasks that fail, evictions.

  Scenario: A wave of cancellations frees everything and starves nobody
    Given 3 entry instances and 4 workers
    And 30 jobs of 4 tasks of 60 s are submitted
    And a job "archive" of 8 tasks of 1 s is submitted to "e0"
    When the 30 jobs are cancelled at once
    Then no attempt of the 30 jobs runs within 10 s
    And the job "archive" of 8 tasks is done within 20 s
    And no promise was broken

  Scenario: A team's tasks never hold more than its quota
    Given 3 entry instances and 4 workers
    And a quota of 6000 millis of processor for the team "archive"
    When a job "archive" of 20 tasks of 1 s is submitted to "e0"
    Then at no moment do more than 6 of its tasks run
    And the job "archive" is done within 60 s

  # What a user sees: a worker that fails everything at once draws all the work.
  Scenario: A worker that fails whatever it starts stops getting work
    Given 3 entry instances and 4 workers
    And the worker "w1" fails whatever it starts
    When a job "archive" of 40 tasks of 1 s is submitted to "e0"
    Then the job "archive" is done within 90 s
    And at most 16 attempts failed on "w1"

  Scenario: A task that fails everywhere ends as failed after three attempts
    Given 2 entry instances and 4 workers
    And every worker fails whatever it starts
    When a job "broken" of 2 tasks of 1 s is submitted to "e0"
    Then the job "broken" is over with 2 tasks "failed" within 60 s
    And at most 6 attempts began

  # What a user sees: work that is lost again and again, on one worker after the other.
  # Order: a task brings down its worker as it starts; the worker is back, without it;
  # the owner finds the attempt gone and starts the next.
  # Cause it had: only attempts that the worker says have failed were counted.
  Scenario: A task that crashes its workers ends as failed after four attempts
    Given 3 entry instances and 4 workers
    And the first task of the job "broken" crashes its workers
    When a job "broken" of 1 tasks of 1 s is submitted to "e0"
    Then the job "broken" is over with 1 tasks "failed" within 60 s
    And at most 4 attempts began
    And no promise was broken

  # What a user sees: the same, for as long as instances come and go.
  # Order: the owner dies between the attempts; its successor takes the job over.
  # Cause it had: how often a task had failed was known to its owner alone.
  # A worker whose decider died with the owner is asked by the next one what it has, and
  # has nothing: that an attempt went with it, nobody can tell. One more for each owner.
  Scenario Outline: What is known of a task that <does> survives its owners
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

  # What a user sees: a long job that fails in a data centre whose workers are now and then
  # replaced, though each attempt had run for long.
  Scenario: Attempts that ran for long before their worker was lost do not count
    Given 3 entry instances and 4 workers
    And a job "archive" of 1 tasks of 60 s is submitted to "e0"
    When its worker loses everything after each of 5 attempts has run for 32 s
    Then the job "archive" is done within 90 s

  # What a user sees: a service that was added and confirmed answers nothing.
  # Order: its workers are full of batch tasks; those are evicted.
  # Cause it had: its slots were looked at again only at the next change.
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

  # What a user sees: a worker that runs out of memory after a service was removed.
  # Order: requests of a service are in flight; the service is removed; batch work
  # is waiting for its room. The worker itself does not check.
  # Cause it had: the room of a removed service was free at once.
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

  # What a user sees: a task that is said to run and never ends.
  # Order: the start, or its answer, is lost; renewals go on.
  # Cause it had: each renewal put off the moment at which a lost start is settled,
  # and a successor was told that the attempt ran.
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

  # What a user sees: a task that runs on two workers.
  # Order: the answer to a start is lost; the start is repeated, and the repeat is
  # turned down or cannot be sent.
  # Cause it had: the answer to the repeat was taken for one to the first start.
  Scenario Outline: A repeated start that is <repeat> says nothing of the first
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

  # What a user sees: a finished task that runs again on the same worker.
  # Order: a start's answer is lost and the start repeated; the task ends and its
  # end is acknowledged; the repeat comes in.
  # Cause it had: the worker had been told to forget the attempt.
  Scenario: A repeated start that comes in after the end starts nothing
    Given 2 entry instances and 2 workers
    And 1 s pass
    When the next start is answer lost
    And the start after it is late
    And a job "archive" of 1 tasks of 0.6 s is submitted to "e0"
    And 6 s pass
    Then the job "archive" is done within 1 s
    And at most 1 attempts began
    And no promise was broken

  # What a user would see: a cancelled task that runs after all.
  # Order: a start is lost; the job is cancelled; the worker refuses the stop.
  Scenario: A job that is cancelled while its start is unsure never runs
    Given 2 entry instances and 2 workers
    And 1 s pass
    When the next start is lost on the way
    And a job "archive" of 1 tasks of 1 s is submitted to "e0"
    And the job "archive" is cancelled at "e0"
    Then the job "archive" is over with 1 tasks "cancelled" within 10 s
    And no attempt began

  # What a user sees: a machine that is overrun by what is started on it.
  # Order: a worker holds less than before and the list says so; jobs are handed in.
  # Cause it had: its decider counted with what the worker held when it was claimed.
  Scenario Outline: A worker that shrinks gets nothing beyond what it holds, <then>
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

  # What a user sees: the same, while requests keep the slots of a service in use.
  # Order: the slots of a service fill a worker that shrinks below them.
  # Cause it had: slots that were open stayed open.
  Scenario: A worker that shrinks below its slots takes no more requests
    Given 2 entry instances and 2 workers
    And a service "checks" that fills its workers
    When the worker "w0" shrinks to 2 cores
    And 40 requests to "checks" that take 0.2 s come one after the other
    Then all of them are answered
    And no promise was broken
    When the worker "w0" grows to 8 cores
    Then its slots are open again within 3 s

  # What a user sees: an urgent job that waits behind a wave of batch work.
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
