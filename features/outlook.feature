Feature: Serving tasks are placed and moved by what that opens to fillers
  A worker is open to a filler as far as each of its serving tasks keeps enough slack over
  the coming swing of its users.

  Scenario: Tasks that swing together leave more of a worker to fillers
    # A worker whose tasks each have their highest load at a time of its own is never open.
    Given 10 serving jobs whose load swings every 14 s, read for 20 s
    And fillers that disturb them all
    Then a worker with tasks of jobs that swing alike opens at least 1.5 times as much to fillers as one whose tasks do not

  Scenario: A task goes where it closes least to fillers
    Given 10 serving jobs whose load swings every 14 s, read for 20 s
    And fillers that disturb them all
    When another task of the first job is to be placed beside its like or beside others
    Then it goes beside its like
