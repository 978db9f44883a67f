Feature: How users' loads swing is learned, and what they will be soon is expected
  The slack that its users leave a serving task decides how much fillers may take. A pace or
  a place that is chosen by what was read a second ago is wrong when the load has moved on.

  Scenario: The period that the jobs share is found, and the next two seconds are expected
    # Batch callers wait beside idle processors, then serving tasks pass their targets: both
    # because the load swings by more in two seconds than the readings tell. The middle of
    # the last second's readings is off by 0.9, two seconds ahead.
    Given 10 serving jobs whose load swings every 14 s, read for 20 s
    Then the period is found to within 10 %
    And the slack in 2 s is expected to within 0.25
    And by the middle of the last second it is missed by more than 0.6

  Scenario: A load that does not swing is followed by its trend
    # A wave that is fitted to noise would expect slack that never comes.
    Given 10 serving jobs whose load is steady, read for 20 s
    Then no period is found
    And the slack in 2 s is expected to within 0.25

  Scenario: A part of a long wave is not taken for a short one
    # In its first seconds a long wave looks like half of a short one, which would expect
    # the load to fall while it still rises. Expected slack was off by 0.9, the trend's by 0.5.
    Given 10 serving jobs whose load swings every 30 s, read for 9 s
    Then no period is found

  Scenario: The next holder begins with the period
    # Each change of the holder would cost a whole swing of learning: the next one needs half
    # of it. It takes over no waves, for a record is read seconds after it was written; with
    # waves that were off by a second batch callers got less than with none.
    Given 10 serving jobs whose load swings every 14 s, read for 20 s
    When another holder begins with what the last one stored
    And it reads for 7 s
    Then it expects the slack in 2 s to within 0.5
    And a holder that begins with nothing misses it by more than 0.6

  Scenario: A job that came later needs half a swing once the period is known
    Given 10 serving jobs whose load swings every 14 s, read for 20 s
    When one more job with that period is read for 7 s
    Then its slack in 2 s is expected to within 0.5
