Feature: An instance never treats its view of a log as newer than it is
  An instance answers callers from its own view of the logs. These scenarios cover the
  answers that are wrong if that view is older than the instance believes.

  Scenario Outline: A new route is served after the store was out of reach for 11 s: <how>
    # Guards against answers that a queue just opened is unknown. One instance on a
    # slow link loses the store while the operator writes three configurations a second.
    # When the store is back, the instance reads every replaced configuration one after
    # the other and answers from each of them on the way. Example from the log of such
    # an instance: the store is back at 73.2 s, 20 replaced configurations are read at
    # 75.5 s and 14 more at 76.9 s; every answer from an older configuration is wrong.
    Given a cell of 4 instances and 4 workers that reach the store through one another
    And one instance has a link of 5 Mbit/s
    When the store <how> for it for 11 s while a queue is added 3 times a second
    Then it never answers that a queue added 2 s before or earlier is unknown
    And it serves the newest queue within 1.5 s of the store's return

    Examples:
      | how       |
      | is silent |
      | refuses   |

  Scenario: A full read of a log contains everything stored before it
    # Guards against a job that runs in two places after its holder dies. The next
    # holder fences the old one off and then reads the log of jobs to the end, so that
    # it misses no job whose tasks already run. If a slow read that began before the
    # fence counts as that full read, a job stored in between stays unknown, and the end
    # of its task is acknowledged without being recorded.
    Given a store whose answers take 0.24 s to return
    When a record is stored and the log is then read to its end
    Then the records read included it in each of 20 attempts

  Scenario: An instance that was suspended does not take an old answer for a new one
    # Guards against answers from a configuration that is five seconds old. The machine
    # is suspended while an answer of the store waits in its socket; read after the
    # resume, that answer would count as if the store had just given it.
    Given a store whose answers take 0.24 s to return
    When the process is suspended for 5 s while an answer is on its way
    Then it considers its view at least 3.5 s old when that answer is read

  Scenario Outline: An instance that cannot read configurations says so: <what>
    # Guards against an instance that answers from an old configuration indefinitely
    # after queues were closed and opened. It reaches the store's logs of jobs but not
    # the operator's log, and so considers itself up to date.
    Given a cell of 3 instances and 4 workers
    And one instance that gets no answers from the operator's log once "kept" has run there
    When the queue "closed" is closed, and "opened" and "urgent/nested" are added
    And 3 s pass in the cell
    Then that instance answers <what> with <status>
    And it is not ready

    Examples:
      | what                               | status |
      | a count of the opened queue        | 503    |
      | a count of the nested queue        | 503    |
      | a count of the closed queue        | 503    |
      | a new job for the closed queue     | 503    |
      | the same job as before once more   | 200    |
      | a query for that job               | 200    |

  Scenario: A read that a relay cut short counts only for the time it waited
    # Guards against a job that runs twice after a takeover, because a full read misses
    # what was stored before it. While the store is out of reach, reads do not wait for
    # records; an empty answer that arrives late would count as if the store had checked
    # again at the end of the whole wait.
    Given a reader that waits 0.5 s on a store that answers after 0.6 s and was out of reach
    When a record is stored and the log is then read to its end, just as the store is back
    Then the records read included it in each of 20 attempts

  Scenario: A slow store does not make a view count as too old
    # Guards against refusing callers while the store is slow, although every instance
    # reads all the time: a long-poll read that ends with a record counts from its
    # start, and the next read begins a new wait.
    Given a store whose answers take 0.24 s to return
    When a record is stored every 1.05 s for 30 s
    Then the view was never considered older than 1.8 s

  Scenario: A reload that is requested while a read is in progress takes place
    # Guards against answering a caller with an old state of a job. An instance that
    # stops holding the cell has to read again what others stored meanwhile. If a read
    # in progress sets the log offset back to its own, the records before that offset
    # are never read.
    Given a store whose answers take 0.24 s to return
    When a reload is requested while a read is in progress
    Then the newest records are read again

  Scenario: An instance on a slow link catches up with what it missed
    # Guards against an instance that refuses callers for ever: it has missed a few
    # seconds of a busy log and asks for all of it in one read, and no answer passes its
    # link before the timeout.
    Given a cell of 3 instances and 4 workers
    And one instance has a link of 5 Mbit/s
    When the store is silent for it for 4 s while 400 kB/s of jobs are stored
    Then its view of the jobs is up to date within 8 s

  Scenario: An instance on a slow link catches up with a log that goes on growing
    # Guards against a third of the instances staying not ready for the rest of the day
    # after a cut of 12 s. Their link carries little more than what is written, and each
    # read that asks for more than passes before the timeout costs a second. Without
    # such reads catching up takes 5.5 s, and twice as long is allowed.
    Given a cell of 3 instances and 4 workers
    And one instance has a link of 5 Mbit/s
    When the store is silent for it for 6 s while 300 kB/s of jobs are stored, and go on being stored
    Then its view of the jobs is up to date within 11 s

  Scenario: An instance that loses the store for a moment does not read all routes again
    # Guards against a data centre in which no task starts: each lost read makes the
    # holder read the whole configuration again, through peers on slow links, though
    # nothing has changed, and nothing is started from a view that is as old as that.
    Given a cell of 3 instances and 4 workers
    And the configuration has 500 queues
    When the store is silent for the holder for 3 s
    Then it has not read the whole operator's log again
