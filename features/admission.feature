Feature: Jobs are refused only where the cell can do nothing for their callers
  The load: a crowd of callers at once, of whose jobs the last have no chance. What the
  holder measures is published, and each instance decides from it without a call.

  Scenario Outline: <who> is <told> while the queue has work for <drained_s> s
    Given a queue that has work for <drained_s> s before a job of the usual size
    When room is asked for by <who>
    Then the job is <told> by load

    Examples:
      | who                                       | drained_s | told     |
      | a job that may still be worth something   | 10        | accepted |
      | a job without a chance                    | 100       | refused  |
      | a long job that may still be worth something | 100    | accepted |
      | a small job, which is placed first        | 100       | accepted |
      | a lasting job                             | 100       | accepted |
      | a repeated job                            | 100       | accepted |
      | a job of a queue without a latency target | 100       | accepted |

  Scenario: Refused callers come back in the order in which they were refused
    # Guards against callers that come back all at once, when there is room for few, and
    # against one that is served before another that was refused first.
    Given a queue that has work for 100 s before a job of the usual size
    When 60 callers without a chance ask within 6 s
    Then they come back in order, no more in a second than the queue serves
    And with returns at random times some come back before others refused 3 s earlier

  Scenario: Callers of an urgent queue come back before those of a batch queue
    Given a queue that has work for 100 s before a job of the usual size
    When 10 callers of an urgent queue ask, then 10 of the batch queue
    Then all callers of the urgent queue come back first

  Scenario: A caller that comes back too early does not queue up again
    # Guards against callers whose four tries end before there is room: put behind all
    # that were refused meanwhile, a caller is never served.
    Given a queue that has work for 100 s before a job of the usual size
    When 60 callers without a chance ask within 6 s
    And the first of them asks again at once
    Then its wait reaches the time at which there is room, and no further

  Scenario: Data centres get equal shares of the returns, whatever their size
    Given 6 instances of one data centre and 2 of another
    When each of them refuses 10 callers
    Then the callers of both data centres come back at the same rate

  Scenario: On a usual day with bursts nothing is refused or decided otherwise
    # Guards against a part that acts without need.
    When a day of uneven demand is played with and without the part
    Then both days are the same, and no backlog was published

  Scenario: A crowd is told the truth
    # Guards against refusals of jobs that the cell would have served: judged by all work
    # that waits, most of the refused jobs would have been worth something, since a new
    # job that can be on time goes before those that are late.
    When thirty times the usual batch callers come for 6 s
    Then at most 2 of those who are refused would have been served in time
    And by all work that waits over 20 of them would have been

  Scenario: A job that has no chance is refused, and nothing runs
    Given a cell of 3 instances and 4 workers
    And the holder has published that the batch queue has work for 500 s
    When a batch job "ba01" is handed in through a follower
    Then the job was refused for load
    And nothing has started
    And the job "ba01" is not known

  Scenario Outline: A record that <is> refuses nobody
    # Guards against refusals by a backlog that is over.
    Given a cell of 3 instances and 4 workers
    And callers of the urgent queue hand in a job every 0.1 s
    And the log has a backlog of the batch queue of 500 s that <is>
    When a batch job "ba02" is handed in through a follower
    Then the job "ba02" is shown as completed within 10 s

    Examples:
      | is                      |
      | is 2.1 s old            |
      | was read 2.1 s ago      |
      | is from the future      |
      | cannot be read          |
      | has another version     |
      | holds impossible numbers |
      | is of an ended epoch    |

  Scenario: A holder that dies between two records refuses nobody for long
    Given a cell of 3 instances and 4 workers
    And the holder has published that the batch queue has work for 500 s
    When the holder dies
    And 2.1 s pass in the cell
    And a batch job "ba03" is handed in through a follower
    Then the job "ba03" is shown as completed within 15 s
    And no promise of the cell was broken

  Scenario: An instance that cannot read the log of jobs refuses nobody for load
    # Guards against a refusal of a job whose record this instance could not read.
    Given a cell of 3 instances and 4 workers
    And the holder has published that the batch queue has work for 500 s
    When the follower cannot read the log of jobs
    And a batch job "ba04" is handed in through a follower
    Then the job "ba04" is shown as completed within 10 s

  Scenario: A job that another instance stored is not refused
    # Guards against "not run" for a job that runs: the answer of the first instance was
    # lost, and the second one has not read the record yet.
    Given a cell of 3 instances and 4 workers
    When the follower cannot read the log of jobs
    And 1 s pass in the cell
    And a batch job "ba05" is handed in through another follower
    And the holder publishes that the batch queue has work for 500 s
    And the follower can read it again
    And a batch job "ba05" is handed in through a follower
    Then the follower has accepted it
    And the job "ba05" is shown as completed within 10 s
    And no promise of the cell was broken

  Scenario: A job that this instance is still storing is not refused
    # Guards against "not run" for a job whose record this instance goes on storing: the
    # caller gave up waiting and asks again.
    Given a cell of 3 instances and 4 workers
    And callers of the urgent queue hand in a job every 0.1 s
    When the store acts late for a follower, through which "ba06" is handed in
    And the holder publishes that the batch queue has work for 500 s
    And a batch job "ba06" is handed in through a follower
    Then the follower says that it cannot know yet

  Scenario: A job that this instance begins to store during its read is not refused
    # Guards against "not run" for a job that runs: a repeat is let in, by a backlog that
    # is missing for a moment, while the first request still waits for its read.
    Given a cell of 3 instances and 4 workers
    And the holder has published that the batch queue has work for 500 s
    When a follower begins to store "ba09" while it reads the log for another try
    Then the follower says that it cannot know yet

  Scenario: A repeat is stored although the time of its first caller is over
    # Guards against a caller that waits in vain: the record that stands for both leaves
    # the queue with the first one.
    Given a log of jobs that is at work on an append for 1 s
    When a record is put for 0.5 s, and again for 3 s
    Then the first is told "unknown", the second "yes"

  Scenario: A record that is stored after another instance's refusal runs once
    # An append without an answer may be carried out seconds later. No read can tell. The
    # caller knows that its first try has no answer, and its next one finds the job.
    Given a cell of 3 instances and 4 workers
    When the store acts late for another follower, through which "ba07" is handed in
    And that follower dies
    And the holder publishes that the batch queue has work for 500 s
    And a batch job "ba07" is handed in through a follower
    Then the job was refused for load
    When 4 s pass in the cell
    And a batch job "ba07" is handed in through a follower
    Then the follower has accepted it
    And the job "ba07" is shown as completed within 10 s
    And no promise of the cell was broken
    And no task was started more often than needed

  Scenario: An instance that dies after a refusal leaves nothing behind
    Given a cell of 3 instances and 4 workers
    And the holder has published that the batch queue has work for 500 s
    When a batch job "ba08" is handed in through a follower
    And the follower dies
    And 2.1 s pass in the cell
    Then nothing has started
    When a batch job "ba08" is handed in through another follower
    Then the job "ba08" is shown as completed within 10 s
    And no promise of the cell was broken

  Scenario: A cell that cannot serve its crowd publishes, and stops when it is over
    # From the holder's measurement to the answer: no record is written by hand.
    Given a cell of 3 instances and 1 workers
    When a crowd of equal batch jobs comes that takes minutes to serve
    Then some of it is refused, and nothing of those jobs runs
    And what was published is deleted when the crowd has been served
    And no promise of the cell was broken
