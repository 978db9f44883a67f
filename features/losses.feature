Feature: The logs tell where late jobs lost their time
  An operator who sees callers wait asks what to change. The time that late jobs lose is
  summed up by stage from the log lines alone.

  Scenario: A job's critical path is followed from its end to its acceptance
    # 10 s for work of 4 s: the second step's last task waited, was moved and was
    # slowed.
    Given the log of a job of two steps whose second was moved and slowed
    Then its time is attributed as
      | stage                            | seconds |
      | accepted, not known to the holder | 0.5    |
      | waits, no reason kept            | 1.5     |
      | at work                          | 3.0     |
      | run lost: moves_away             | 2.0     |
      | waits again after: moves_away    | 1.0     |
      | paced down                       | 2.0     |
    And it counts as one late job

  Scenario: A wait that is too short for a log line of its own still has its reasons
    # Without their reasons, waits below 3 s form the largest stage of all.
    Given the log of a job that waited for 2 s, as its last line says for no_room and no_spare
    Then its time is attributed as
      | stage            | seconds |
      | waits: no_room   | 1.5     |
      | waits: no_spare  | 0.5     |
      | at work          | 1.0     |

  Scenario: The last line of a job says for how long it waited, and why
    Given 4 workers of 16 cores
    And lasting tasks of 4 cores fill them
    When a batch job of 1 x 4 cores comes and the lasting tasks are cancelled 2 s later
    Then the last line of the batch job says that it waited 2 s for no_room

  Scenario: Time without a holder is told apart from time in a queue
    Given the log of a job that waited for 6 s, 3 s of them while nobody held the cell
    Then its time is attributed as
      | stage            | seconds |
      | waits: no_room   | 3.0     |
      | no holder        | 3.0     |
      | at work          | 1.0     |

  Scenario: A job that was accepted while nobody held the cell waited for a holder
    # Guards against attributing the time of a takeover to the reading of the log, which
    # concerns 19 of 44 late jobs.
    Given the log of a job that was accepted 1 s before a holder was lost for 3 s
    Then its time is attributed as
      | stage                             | seconds |
      | accepted, not known to the holder | 1.5     |
      | no holder                         | 3.0     |
      | at work                           | 1.0     |

  Scenario: Jobs on time and cancelled jobs cost nothing
    Given the log of a job that was on time and of one that was cancelled
    Then no job is late and no stage costs anything

  Scenario: The losses of a simulated cell
    # The log lines are those that instances really write.
    Given a cell of 3 instances and 4 workers
    And its log is kept
    When 12 jobs of 2 steps of 6 tasks are handed in
    And the holder dies
    Then all jobs are shown as completed within 40 s
    And its losses name 12 jobs that ended, and stages for each that was late
