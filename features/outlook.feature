Feature: Serving tasks are placed and moved to make CPU available to fillers
  A worker is open to a filler as far as each of its serving tasks keeps enough slack
  over the next period of its users' load.

  Scenario: Tasks whose loads are in phase leave more of a worker to fillers
    # A worker whose tasks each have their peak load at a different time is never open.
    Given 10 serving jobs whose load has a period of 14 s, read for 20 s
    And fillers that interfere with all of them
    Then a worker with tasks whose loads are in phase opens at least 1.5 times as much to fillers as one whose loads are not

  Scenario: A task goes where it takes the least CPU from fillers
    Given 10 serving jobs whose load has a period of 14 s, read for 20 s
    And fillers that interfere with all of them
    When another task of the first job is to be placed beside tasks in phase or beside others
    Then it goes beside tasks in phase
