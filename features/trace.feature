Feature: The logs lead from a request's id to its cause
  A cell is played, its log lines are taken as they would be written, and the story is
  told from them. docs/OPERATIONS.md walks through the same three.

  Scenario: A request that was refused
    # A caller was told 503. The store turned the instance away; nothing ran.
    Given a cell of 3 instances and 4 workers
    And its log is kept
    When the store refuses for everybody
    And a job "ba01" of 1 steps of 2 tasks is handed in
    Then the story of "ba01" says "refused, not run: the store did not take it"

  Scenario: A request that came late because the holder died
    # A caller waited seconds longer than usual. The holder died before it had started
    # the second step; another instance took the cell over.
    Given a cell of 3 instances and 4 workers
    And its log is kept
    When a job "ba02" of 3 steps of 4 tasks is handed in
    And 1 s pass in the cell
    And the holder dies
    Then the job "ba02" is shown as completed within 25 s
    And the story of "ba02" says "the holder of the cell changed"

  Scenario: A request that failed because its tasks failed
    # A caller reads "failed". One task used all its attempts, on two workers.
    Given a cell of 3 instances and 4 workers
    And its log is kept
    And every worker fails everything
    When a job "ba03" of 1 steps of 1 tasks is handed in
    And 30 s pass in the cell
    Then the story of "ba03" says "failed: task 0/0/0 failed 4 times"

  Scenario: A request that failed because a task crashed its workers
    # A caller reads "failed" although no attempt failed: two workers went as the task
    # started. The reader of the logs looked for failed attempts only, and broke off.
    Given a cell of 3 instances and 6 workers
    And its log is kept
    When a job "ba06" of 2 tasks is handed in, of which task 1 crashes its workers
    And 10 s pass in the cell
    Then the story of "ba06" says "failed: task 0/0/1 was started as 2 workers crashed"

  Scenario Outline: A failed request whose lines are only partly there: <why>
    # An operator has the log of one instance only: the job's end is in it, what led to it
    # is not. The reader looked for the task with the most lines, and broke off.
    Given a log with nothing but the end of a job that failed: <why>
    Then the story of "ba07" says "failed: the lines that tell which task are not in these logs"

    Examples:
      | why             |
      | attempts_used   |
      | crashes_workers |

  Scenario: A request whose task finds no place
    # A caller waits and sees nothing run. All workers are full of tasks that last.
    Given a cell of 3 instances and 4 workers
    And its log is kept
    When a lasting job "ba05" of 5 tasks that take a whole worker each is handed in
    And 6 s pass in the cell
    Then the story of "ba05" says "a step found no place for 3"
    And the story of "ba05" says "(no_room)"

  Scenario: A log whose reader stands still blocks nobody and loses a counted part
    Given a log writer with a reader that stands still
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
    # 0.01 s to be stored, 0.2 s to a worker, two steps of 1 s and 2 s with 0.5 s between
    # them, 0.1 s to be shown: the reader has to find each where it was.
    When the budget is read from the lines of such a job, the last first
    Then its stages are 0.01, 0.2, 1, 0.5, 0.1 and 3.81 s

  Scenario Outline: No log line is torn or lost by a reader that <how>
    # Half of the lines about a job were missing, and the last one before each gap was torn:
    # a write of 16 KiB was said to have been taken whole, and was not.
    Given a log writer with a reader that <how>
    When 500 lines of 300 bytes are logged to it
    Then the reader finds all 500 of them, none torn

    Examples:
      | how                                                 |
      | takes a few bytes at a time                         |
      | takes 8 KiB of any write, and says that it took all |
