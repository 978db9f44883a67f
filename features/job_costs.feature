Feature: A job is judged by what it costs before it is stored
  Every instance keeps every job until it is forgotten, and the holder all of its tasks.
  Here an instance has 120 MB for jobs, and a store whose records have at most 262,144 bytes.

  Scenario Outline: <what> is <outcome>
    # Guards against a small request that becomes more than any instance can hold, and
    # against limits that ordinary jobs meet.
    Given a job of <steps> steps of <tasks> tasks, <occurrences> times each <interval> s
    Then it is <outcome>

    Examples:
      | what                            | steps | tasks   | occurrences | interval | outcome                  |
      | a usual job                     | 5     | 80      | 1           | 0        | kept                     |
      | the largest job                 | 1     | 4096    | 1           | 0        | kept                     |
      | a job of one task more          | 1     | 4097    | 1           | 0        | refused for its tasks    |
      | a job of many small steps       | 1200  | 1       | 1           | 0        | refused for its record_bytes |
      | a job each hour for a year      | 1     | 1       | 8760        | 3600     | kept                     |
      | as many at once                 | 1     | 1       | 8760        | 0        | refused for its tasks    |
      | a job of the largest count      | 1     | 2000000000 | 1        | 0        | refused for its tasks    |
      | a large job each day, for ever  | 1     | 4000    | 2000000000  | 86400    | refused for its progress_bytes |

  Scenario: Instances together give away no more than the smallest one has
    # Guards against a holder that is ended for its memory by jobs that larger instances
    # have accepted, and against instances that all give the same room away.
    Given an instance with 40 MB for jobs, among 4, of which the smallest has 20 MB
    When callers hand in 20 jobs of 4000 tasks at once
    Then 2 of them find room
    When the log shows them, and 20 further jobs are handed in
    Then 1 of them find room
    When the log shows them, and 20 further jobs are handed in
    Then 0 of them find room
    When the log shows them, and the first is forgotten
    Then a job of 4000 tasks finds room

  Scenario: Small jobs find room when large ones no longer do
    # Guards against a crowd whose jobs fill all the room and turn ordinary ones away.
    Given an instance with 40 MB for jobs, among 1, of which the smallest has 40 MB
    When callers hand in 100 jobs of 4000 tasks at once
    Then 13 of them find room
    When callers hand in 100 jobs of 40 tasks at once
    Then 100 of them find room

  Scenario: Jobs that have ended take no part of the decisions
    # Guards against a cell that turns jobs away for those it has long finished.
    Given an instance with 400 MB for jobs, among 1, of which the smallest has 400 MB
    When callers hand in 40 jobs of 4000 tasks at once
    Then 30 of them find room
    When callers hand in 10 jobs of 1 tasks in 400 steps at once
    Then 0 of them find room
    When the log shows that all have ended, and 10 such jobs are handed in
    Then 2 of them find room
