Feature: What an instance says of its view of a log is as old as its question
  An instance answers callers from its own view of the logs. These are the answers that
  would be wrong if that view were older than it is taken for.

  Scenario Outline: A route is served though the store was away for 11 s: <how>
    # An artist's shop opens a queue and its first calls are told that no such queue exists.
    # The store was out of reach for one instance on a narrow link, while the operator wrote
    # three configurations a second. Back in reach, the instance read every configuration
    # that had been replaced, one after the other, and answered from the one it was at.
    # Evidence: a log of such an instance has the store back at 73.2 s, 20 replaced
    # configurations at 75.5 s and 14 more at 76.9 s; each answer by an older one is wrong.
    Given a cell of 4 instances and 4 workers that reach the store through one another
    And one instance has a link of 5 Mbit/s
    When the store <how> for it for 11 s while a queue is added 3 times a second
    Then it never answers that a queue is unknown which was added 2 s before or earlier
    And it serves the newest queue within 1.5 s of the store's return

    Examples:
      | how       |
      | is silent |
      | refuses   |

  Scenario: A look at a log shows what was stored before it
    # A check runs in two places after its holder died. The next holder fences the old one
    # off and then looks at the log of jobs, to miss no job whose tasks already run. A read
    # under way since before the fence, answered slowly, counted as that look; the job in
    # the gap was unknown, and the end of its task was acknowledged without being noted.
    Given a store whose answers take 0.24 s on their way back
    When a record is stored and the log is read whole after it
    Then the record was among what was read, each time of 20

  Scenario: An instance that was suspended does not take an old answer for a new one
    # A caller is answered by a configuration of five seconds ago. The machine was suspended
    # while an answer of the store waited in its socket; read on waking, that answer counted
    # as if the store had just given it.
    Given a store whose answers take 0.24 s on their way back
    When the process is suspended for 5 s while an answer is on its way
    Then its view is taken to be at least 3.5 s old when that answer is read

  Scenario Outline: An instance that reads no configurations says so: <what>
    # A shop closes a queue and opens others; callers of one instance are told by the old
    # configuration, without end. That instance reaches the store's logs of jobs, but not the
    # operator's, so it takes itself for up to date.
    Given a cell of 3 instances and 4 workers
    And one instance that gets no answers from the operator's log after "kept" ran there
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

  Scenario: A read that a relay shortened counts for no longer than it waited
    # A job runs twice after a takeover, as in a look that misses what was stored before it:
    # while the store is out of reach, reads do not wait for records, and an empty answer that
    # came late counted as if the store had looked again after the whole wait.
    Given a reader that waits 0.5 s, of a store that answers after 0.6 s and was out of reach
    When a record is stored and the log is read whole after it, just as the store is back
    Then the record was among what was read, each time of 20

  Scenario: On a slow store a view is not taken for old
    # Callers are refused on a slow day though every instance reads all the time: a long read
    # that ends with a record counts from its start, and the next one begins a wait again.
    Given a store whose answers take 0.24 s on their way back
    When a record is stored every 1.05 s for 30 s
    Then the view was never taken to be older than 1.8 s

  Scenario: A reload that is asked for while a read is under way takes place
    # A caller reads an old state of a job. Its instance has just stopped holding the cell
    # and is to read again what others stored meanwhile; a read that was under way put back
    # the place in the log, and what came before it stayed untaken.
    Given a store whose answers take 0.24 s on their way back
    When a reload is asked for while a read is under way
    Then the newest records are read again

  Scenario: An instance on a narrow link catches up with what it missed
    # Callers of one instance were refused for good: it had missed a few seconds of a busy
    # log, asked for all of that in one read, and no answer passed its link in time.
    Given a cell of 3 instances and 4 workers
    And one instance has a link of 5 Mbit/s
    When the store is silent for it for 4 s while 400 kB/s of jobs are stored
    Then its view of the jobs is whole within 8 s

  Scenario: An instance on a narrow link catches up with a log that goes on growing
    # A third of the instances took no callers for the rest of the day after a cut of 12 s:
    # what passes their link is little more than what is written, and each time they asked
    # for more than passes in time they lost a second. Without that it takes 5.5 s, and twice
    # as long is allowed.
    Given a cell of 3 instances and 4 workers
    And one instance has a link of 5 Mbit/s
    When the store is silent for it for 6 s while 300 kB/s of jobs are stored, and go on
    Then its view of the jobs is whole within 11 s

  Scenario: An instance that loses the store for a moment does not read all routes again
    # A data centre stood still: each read that was lost made the holder read the whole
    # configuration again, through peers on narrow links, though nothing had changed, and
    # by a view that old nothing starts.
    Given a cell of 3 instances and 4 workers
    And the configuration has 500 queues
    When the store is silent for the holder for 3 s
    Then it has not read the whole operator's log again
