Feature: The logs lead from a request's id to its cause
  A cell is simulated, its log lines are captured as they would be written, and the
  history of a request is told from them. docs/OPERATIONS.md walks through the same
  three.

  Scenario: A request that was refused
    # A caller got a 503: the store refused the instance, and nothing ran.
    Given a cell of 3 instances and 4 workers
    And its log is kept
    When the store refuses for all instances
    And a job "ba01" of 1 steps of 2 tasks is handed in
    Then the history of "ba01" says "refused, not run: the store did not take it"

  Scenario: A request that was refused for load
    # A caller got a 503 with a long Retry-After: the job had no chance.
    Given a cell of 3 instances and 4 workers
    And its log is kept
    And the holder has published that the batch queue has work for 500 s
    When a batch job "ba08" is handed in through a follower
    Then the history of "ba08" says "refused, not run: it had no chance"

  Scenario: A request that came late because the holder died
    # A caller waited seconds longer than usual: the holder died before it had started
    # the second step, and another instance took over the cell.
    Given a cell of 3 instances and 4 workers
    And its log is kept
    When a job "ba02" of 3 steps of 4 tasks is handed in
    And 1 s pass in the cell
    And the holder dies
    Then the job "ba02" is shown as completed within 25 s
    And the history of "ba02" says "the holder of the cell changed"

  Scenario: A request that failed because its tasks failed
    # A caller reads "failed": one task used all its attempts, on two workers.
    Given a cell of 3 instances and 4 workers
    And its log is kept
    And every worker fails every attempt
    When a job "ba03" of 1 steps of 1 tasks is handed in
    And 30 s pass in the cell
    Then the history of "ba03" says "failed: task 0/0/0 failed 4 times"

  Scenario: A request that failed because a task crashed its workers
    # A caller reads "failed" although no attempt failed: two workers went down as the
    # task started. Guards against an analysis that looks for failed attempts only, and
    # aborts.
    Given a cell of 3 instances and 6 workers
    And its log is kept
    When a job "ba06" of 2 tasks is handed in, of which task 1 crashes its workers
    And 10 s pass in the cell
    Then the history of "ba06" says "failed: task 0/0/1 was started as 2 workers crashed"

  Scenario Outline: A failed request whose log lines are incomplete: <why>
    # An operator has the log of one instance only, which has the job's end but not what
    # led to it. Guards against an analysis that looks for the task with the most lines,
    # and aborts.
    Given a log with nothing but the end of a job that failed: <why>
    Then the history of "ba07" says "failed: the lines that tell which task are not in these logs"

    Examples:
      | why             |
      | attempts_used   |
      | crashes_workers |

  Scenario: A request whose task finds no room
    # A caller waits and sees nothing run: all workers are full of lasting tasks.
    Given a cell of 3 instances and 4 workers
    And its log is kept
    When a lasting job "ba05" of 5 tasks that take a whole worker each is handed in
    And 6 s pass in the cell
    Then the history of "ba05" says "a step found no place for 3"
    And the history of "ba05" says "(no_room)"

  Scenario: A stalled log reader blocks no writer, and dropped lines are counted
    Given a log writer with a stalled reader
    When 20000 lines are written
    Then each took less than 0.1 ms and the memory stayed bounded
    And the reader finds how many lines were dropped

  Scenario: Where the time of a queue's jobs goes
    # Callers wait longer than their work takes, and nobody can say in which stage.
    Given a cell of 3 instances and 4 workers
    And its log is kept
    When a job "ba04" of 3 steps of 4 tasks is handed in
    Then the job "ba04" is shown as completed within 25 s
    And the budget of queue "urgent" counts 1 stored, 1 placed, 12 run, 2 handed over

  Scenario: The stages of one job
    # 0.01 s to be stored, 0.2 s until a worker starts it, two steps of 1 s and 2 s with
    # 0.5 s between them, 0.1 s until the end is shown: each must be found in its stage.
    When the budget is read from the lines of such a job, the last first
    Then its stages are 0.01, 0.2, 1, 0.5, 0.1 and 3.81 s

  Scenario: Long texts of callers leave room for other log lines
    # Guards against a crowd whose long paths fill the buffer of the log, so that the
    # lines of others are dropped.
    Given a log writer with a stalled reader
    When 100 lines with a path of 16000 characters are logged, and one of another event
    Then no line was dropped, and the path's beginning is in each

  Scenario Outline: No log line is torn or lost by a reader that <how>
    # Guards against logs in which half of the lines about a job are missing and the
    # last one before each gap is torn. This happens if a write of 16 KiB is reported as
    # complete, but is not.
    Given a log writer with a reader that <how>
    When 500 lines of 300 bytes are logged to it
    Then the reader finds all 500 of them, none torn

    Examples:
      | how                                                 |
      | takes a few bytes at a time                         |
      | takes 8 KiB of any write, and says that it took all |
