Feature: A record that is wrong in one field passes no border
  Each field of a valid record is left out, or has another type, a number that is huge or
  negative, or a text that is not UTF-8. What cannot be used is refused, and the rest goes
  on.

  Scenario Outline: <what> with a wrong field raises no error
    # Guards against a cell that nobody can hold, because each leader in turn reads the
    # record and ends by an error.
    Given the wrong forms of <what>
    When each of them is handed to its decoder
    Then no error is raised, and at least <refused> of them are refused

    Examples:
      | what                | refused |
      | a worker's entry    | 100     |
      | a configuration     | 100     |
      | a worker's report   | 100     |
      | a worker's answer   | 10      |
      | an answer on advice | 30      |
