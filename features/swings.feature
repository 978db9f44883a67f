Feature: The period of the users' load is learned, and the slack is forecast
  The slack that its users leave a serving task decides how much CPU fillers may use. A
  pace or a worker that is chosen by a reading from a second ago is wrong when the load
  has changed.

  Scenario: The period that the jobs share is found, and the next two seconds are forecast
    # Guards against batch callers that wait beside idle CPU, and serving tasks that
    # then exceed their targets. Both happen because the load changes by more in two
    # seconds than the readings show. The median of the last second's readings is off by
    # 0.9, two seconds ahead.
    Given 10 serving jobs whose load has a period of 14 s, read for 20 s
    Then the period is found to within 10 %
    And the slack in 2 s is forecast to within 0.25
    And the median of the last second misses it by more than 0.6

  Scenario: A load that does not oscillate is forecast by its trend
    # A wave that is fitted to noise would forecast slack that never comes.
    Given 10 serving jobs whose load is steady, read for 20 s
    Then no period is found
    And the slack in 2 s is forecast to within 0.25

  Scenario: A part of a long wave is not taken for a short one
    # In its first seconds a long wave looks like half of a short one, which would
    # forecast a falling load while the load still rises. The forecast slack is then off
    # by 0.9, the trend's by 0.5.
    Given 10 serving jobs whose load has a period of 30 s, read for 9 s
    Then no period is found

  Scenario: The next holder begins with the period
    # Without the period, each change of the holder costs a whole period of learning;
    # with it, the next holder needs half of one. It inherits no waves, because a record
    # is read seconds after it was written, and with waves that are off by a second
    # batch callers receive less than with none.
    Given 10 serving jobs whose load has a period of 14 s, read for 20 s
    When another holder begins with what the previous one stored
    And it reads for 7 s
    Then it forecasts the slack in 2 s to within 0.5
    And a holder that begins without the period misses it by more than 0.6

  Scenario: A job that came later needs half a period once the period is known
    Given 10 serving jobs whose load has a period of 14 s, read for 20 s
    When one more job with that period is read for 7 s
    Then its slack in 2 s is forecast to within 0.5
