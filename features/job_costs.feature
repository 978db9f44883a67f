Feature: A job is judged by what it costs before it is stored
  Every instance keeps every job until it is forgotten, and the holder all of its tasks.
  Here an instance has 64 MB for jobs, and a store whose records have at most 262,144 bytes.

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
