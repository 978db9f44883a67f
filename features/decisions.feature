Feature: What callers get under load, by the decisions alone
  The scheduler is played against a load in simulated time. Each figure is given with
  and without the decision that it proves.

  Scenario: A queue that is too long serves those that can still be on time
    # Batch users hand in half as much again as the workers can do. In the order of due
    # times alone, the first in line are those that are just too late, and serving them
    # makes everyone behind them late as well: 16 of 60 on time, against 43.
    Given 4 workers of 16 cores
    When 60 batch jobs of 8 x 2 cores for 2 s at 3 a second
    Then at least 40 of them are on time
    And by due times alone at most 18 of them are on time

  Scenario: Urgent jobs find room among tasks that last
    # A dispatcher waits at the depot: lasting tasks hold all processors for minutes, and
    # nothing ends. Without making room none of the ten checks is done at all; with it, nine
    # of ten are on time.
    Given 4 workers of 16 cores
    And lasting tasks of 4 cores fill them
    When 10 urgent jobs of 4 x 2 cores for 1 s at 1 a second
    Then at least 8 of them are on time
    And without making room none of them is done
    And no more than 5 lasting tasks were ever away
