Feature: The real programs under injected faults
  Entry processes on loopback get signals, broken links and a faulty store, all drawn from
  a seed. Each seed that has failed is kept here with a line on its cause.

  Scenario Outline: Seed <seed>
    When the soak runs seed <seed> for 6 s
    Then it finds no problem

    # 3502: a new holder had not read the log of jobs, and tasks ran again after their
    # end.
    Examples:
      | seed |
      | 1    |
      | 3502 |

  Scenario Outline: Seed <seed>, with tasks that crash their workers and workers that shrink
    When the soak runs seed <seed> for 8 s
    Then it finds no problem

    Examples:
      | seed |
      | 3    |
