Feature: Invariants hold under random sequences of faults
  Real entry instances run in virtual time on fakes of the platform. Each random walk
  kills, pauses and restarts instances, cuts links in one or both directions, takes the
  log service down or makes it lose answers, and delays, loses and repeats messages.
  At the end all faults are removed, and every accepted job must finish.

  Scenario Outline: Walk number <seed>
    When a walk with seed <seed> is taken
    Then nothing was doubled, overrun, lost or called not run though it ran

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
      | 4    |
      | 5    |
      | 6    |
      | 7    |
      | 8    |
      | 9    |
      | 10   |
      | 11   |
      | 12   |
