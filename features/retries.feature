Feature: Callers refused during a store outage are told when to retry
  A caller submits a job five times at most, and retries after the delay that it was told.
  The load: callers arrive throughout an outage of the store, urgent ones for whom two
  seconds are very long, and batch ones that can wait.

  Scenario Outline: Callers outlast an outage of <outage_s> s
    # Guards against jobs that never run: told to retry after a second each time,
    # callers use up their attempts before the store is back, and a third of the jobs of
    # an outage of six seconds is lost.
    Given callers that arrive throughout an outage of the store of <outage_s> s
    When each retries after the delay that it is told
    Then at least <served> of 100 are served
    And with a delay of a second each time no more than <before> of 100 are

    Examples:
      | outage_s | served | before |
      | 5        | 100    | 82     |
      | 6        | 100    | 69     |

  Scenario Outline: No caller comes back later than needed from an outage of <outage_s> s
    # Guards against delays that are longer than a short outage needs: an urgent job
    # would be late that would be on time with a retry after a second.
    Given callers that arrive throughout an outage of the store of <outage_s> s
    When each retries after the delay that it is told
    Then at least 100 of 100 are served
    And no caller is served later than with a delay of a second each time

    Examples:
      | outage_s |
      | 1        |
      | 2        |

  Scenario: An instance that cannot reach the store tells callers when to retry
    Given a cell of 3 instances and 4 workers
    When the store refuses for everybody for 4 s while a caller arrives every 0.5 s
    Then callers are first told to retry after 1 s, and finally after 2 s
