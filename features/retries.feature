Feature: Callers who are refused for want of the store come back when it may be there
  A caller hands a job in five times at most, and comes back after what it was told. The
  load: callers come at every moment of an outage of the store, urgent ones for whom two
  seconds are an eternity and batch ones with time.

  Scenario Outline: Callers outlast an outage of <outage_s> s
    # Told to come back after a second each time, callers had used up their tries before the
    # store was back, and a third of the jobs of an outage of six seconds was never run.
    Given callers at every moment of an outage of the store of <outage_s> s
    When each comes back after what it is told
    Then at least <served> of 100 are served
    And with a second each time no more than <before> of 100 are

    Examples:
      | outage_s | served | before |
      | 5        | 100    | 82     |
      | 6        | 100    | 69     |

  Scenario Outline: No caller comes back later than needed from an outage of <outage_s> s
    # A driver waits at the depot for a check that would have been on time after a second.
    Given callers at every moment of an outage of the store of <outage_s> s
    When each comes back after what it is told
    Then at least 100 of 100 are served
    And no caller is served later than with a second each time

    Examples:
      | outage_s |
      | 1        |
      | 2        |

  Scenario: An instance out of the store's reach tells callers how long it may take
    Given a cell of 3 instances and 4 workers
    When the store refuses for everybody for 4 s while a caller comes every 0.5 s
    Then callers are first told to come back after 1 s, and at last after 2 s
