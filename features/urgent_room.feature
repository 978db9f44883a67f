Feature: A full cell keeps room for urgent jobs
  Lasting tasks reserve nearly all CPU, and a stop takes most of the time that an urgent
  job leaves. Some workers are therefore kept free of lasting tasks, as many as urgent
  jobs needed for four in five moments of the last wave.

  Scenario: Urgent callers are served better in a cell that is short of room
    # Guards against urgent jobs that are late because each of their steps waits until a
    # lasting task has left, while the room that the step before held goes to another.
    Given 3 emulated days with room that is short at times
    When 50 s of each pass
    Then urgent callers receive 0.04 more of the value of their jobs than without kept room
    And lasting callers receive no more than 0.03 less than without kept room
    And batch callers receive no more than 0.03 less than without kept room

  Scenario: Decisions are the same with and without it where room suffices
    # Guards against lasting tasks that are stopped or sent elsewhere in a cell that
    # nobody finds full.
    Given an emulated day of urgent, lasting and batch jobs with room for all of them
    When 30 s of it pass with kept room and without
    Then both days have the same decisions

  Scenario: Room is kept, and a lasting task that is owed a place takes it
    # Guards against a lasting task that waits for ever beside room that is kept for
    # others, longer than operators allow beside free room.
    Given a full cell with urgent jobs
    When it runs for 40 s
    Then workers are kept for urgent jobs
    And no lasting task waited for longer than 8 s
    And a lasting task takes turns only after 12 s at work

  Scenario: A task that may crash its worker takes kept room when it is owed a place
    # Guards against a suspected lasting task that waits for ever beside kept room.
    Given a full cell with urgent jobs
    When it runs for 20 s
    And no lasting task beside the kept workers may leave any more
    And a lasting task is lost with two workers in turn
    Then it waits for no longer than 8 s beside kept room for two of it

  Scenario: A new holder does not let a lasting task wait as long again
    # Guards against a wait that each holder counts anew, beside room that it keeps.
    Given a full cell with urgent jobs
    When it runs for 20 s
    And no lasting task beside the kept workers may leave any more
    And a lasting task ends, and another holder takes over 5 s later
    Then it is at work within 4 s

  Scenario: Kept room is given back when no urgent job comes any more
    # Guards against room that stays empty after the last urgent job.
    Given a full cell with urgent jobs
    When it runs for 20 s
    And no urgent job comes for 25 s
    Then no worker is kept
    And no lasting task waits beside free room

  Scenario: A new holder stops nobody before all workers have reported
    # Guards against a cell that is emptied anew by each holder, which knows from the
    # record what is needed but not yet what runs where.
    Given a full cell with urgent jobs
    When it runs for 20 s
    And another holder takes over and has no report of one worker
    Then it stops nobody ahead, although it keeps workers
    And after that worker's report it goes on

  Scenario: Nothing is stopped ahead while the views are too old
    # Guards against tasks that are stopped just before starts are suspended.
    Given a full cell with urgent jobs
    When it runs for 8 s
    And its list of workers gets too old
    Then nobody is stopped ahead any more

  Scenario: The room of a stopped task counts as taken until its end is reported
    # Guards against a worker that gets more than it has: the report of an end is lost.
    Given a full cell with urgent jobs
    When it runs for 20 s
    And the end of a task that was stopped ahead is not reported for 3 s
    Then nothing starts in its room

  Scenario: A kept worker that is lost with its stopped tasks is replaced
    # Guards against tasks that stay stopped with a worker that is gone.
    Given a full cell with urgent jobs
    When it runs for 20 s
    And a kept worker goes down as its tasks are stopped
    Then another worker is kept instead
    And the lost tasks wait for a place like others

  Scenario Outline: A record that cannot be used is as good as none: <what>
    # Guards against a holder that cannot begin because of what another stored.
    Given a learned record with <what>
    Then it cannot be used, and nothing is forecast

    Examples:
      | what            |
      | another version |
      | a negative need |
      | other bytes     |

  Scenario: The tasks are stopped whose callers lose least for each place
    # Guards against urgent tasks larger than any lasting one, which found no victim, and
    # against tasks that leave again while they start up.
    Given a worker with lasting tasks of 3, 3 and 9 cores, the last one just started
    When a place of 6 cores is to be made
    Then both tasks of 3 cores are stopped
    And a task whose step limits the unavailable ones never is
