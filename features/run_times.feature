Feature: Run times are learned where submitters' estimates are off

  Scenario Outline: Estimates that are off by <factor> are called off, and predictions follow
    Given a queue whose steps take <factor> times their estimates
    When <steps> steps of its jobs have ended
    Then its estimates are <trust>
    And its predictions are off by less than <error>

    Examples:
      | factor | steps | trust      | error |
      | 0.3    | 30    | called off | 1.3   |
      | 0.9    | 30    | trusted    | 1.2   |
      | 1.5    | 30    | trusted    | 1.6   |
      | 3.0    | 30    | called off | 1.3   |
      | 3.0    | 3     | trusted    | 3.1   |

  Scenario: Callers of a queue with estimates that are off get more
    # Guards against an order of the queue that follows estimates off by 0.3 to 3.
    Given emulated days with estimates that are off and more batch jobs than room
    Then "batch" callers get at least 0.03 more with learned run times than without
    And "urgent" callers get at least -0.02 more with learned run times than without
    And "serving" callers get at least -0.02 more with learned run times than without

  Scenario Outline: Where estimates are off by less, decisions are those without the part
    Given emulated days of load "<load>" with seeds 1 to 1
    Then each decision is the same with learned run times and without

    Examples:
      | load     |
      | usual    |
      | tight    |
      | pressing |
      | crowded  |

  Scenario: A run that is paced down teaches its time at full speed
    # Guards against run times that grow with every time that fillers are held back.
    Given a step of 4 tasks that take 2.0 s at full speed
    When they run at a pace of 60 percent until they end
    Then its run time is known as 2.0 s

  Scenario: A run that was paused for most of its time teaches nothing
    # Guards against a rate of progress that is read from seconds without work.
    Given a step of 4 tasks that take 2.0 s at full speed
    When they run at a pace of 20 percent until they end
    Then nothing is known of its run time

  Scenario: A run that was resumed teaches by what it did since
    # Guards against short run times learned from tasks that began half done.
    Given a step of 4 tasks that take 2.0 s at full speed
    When they resume from a checkpoint at 40 percent and end
    Then its run time is known as 2.0 s

  Scenario Outline: Resumed runs whose CPU use is unknown until they end teach nothing
    # Guards against a holder that fails as it divides by a run time of nothing.
    When <resumed> of 4 runs resume at 40 percent and end before their CPU use is known
    Then no run time of nothing is learned

    Examples:
      | resumed |
      | 4       |
      | 1       |

  Scenario: The end of an earlier run says nothing of the one that replaced it
    # Guards against a run time of nearly nothing, learned from a run that had just begun
    # when the run that was thought to be lost turned out to be done.
    Given a cell with room for a job that is estimated at 2.0 s and takes 2.0 s
    When its runs are replaced after 1.5 s and the replaced ones end at once
    Then nothing is known of its run time

  Scenario: A slow worker's tasks teach nothing of their queue
    # Guards against predictions that follow one worker that has turned slow.
    Given 8 steps of 4 tasks that take 2.0 s, each with a task on a worker 4 times slower
    When a step runs on that worker alone
    Then its queue's prediction is still 2.0 s

  Scenario: A report that is lost leaves the projection of a run as it was
    # Guards against a speed that is counted from the number of reports.
    Given a step of 4 tasks that take 2.0 s at full speed
    When every other report on them is lost
    Then each run is expected to end when it does

  Scenario: The objective of a job that ended is by what its work took
    # Guards against jobs called late because their submitter estimated too little.
    Given a cell with room for a job that is estimated at 0.5 s and takes 2.0 s
    When the job has ended
    Then its line says an objective of about 5.0 s and an estimated one of 2.0 s

  Scenario: A new holder goes on with what was learned
    # Guards against estimates that are believed again after each takeover.
    Given a queue whose steps take 3.0 times their estimates
    When 30 steps of its jobs have ended
    And another holder takes over with the record
    Then its estimates are called off
    And its predictions are off by less than 1.3

  Scenario Outline: A record that cannot be read is named and ignored
    # Guards against a holder that fails on a record of another version.
    When a holder takes over with a record of run times that is <record>
    Then the unusable record is logged
    And estimates are trusted

    Examples:
      | record             |
      | garbage            |
      | empty              |
      | of another version |
      | with a sum of nan  |
      | with a huge error  |
      | with a wrong sum   |
      | with a huge sum    |
      | cut short          |
