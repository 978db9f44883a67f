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

  Scenario: A caller's body with a wrong field is answered
    # Guards against requests that end without an answer, and against a holder that ends
    # because of a job that was accepted.
    Given a cell of 3 instances and 4 workers
    And the wrong forms of a caller's body
    When each of them is handed in
    And 5 s pass in the cell
    Then each was answered 200 or 400, and at least 100 with 400
    And the holder's term goes on

  Scenario Outline: A caller's deadline of "<text>" counts as none
    # Guards against requests that end with status 500 because of one header.
    Given a cell of 3 instances and 4 workers
    When a job is handed in with a deadline of "<text>"
    Then it is answered 200 within 3 s

    Examples:
      | text  |
      | ²     |
      | 3000² |
      | -1    |
      | inf   |
      | 1e400 |
      | 0x10  |

  Scenario: A caller's deadline of 400 digits counts as none
    Given a cell of 3 instances and 4 workers
    When a job is handed in with a deadline of 400 digits
    Then it is answered 200 within 3 s

  Scenario: A peer's request with a wrong field is answered
    # Guards against a peer that waits for an answer that never comes.
    Given a cell of 3 instances that relay
    And requests of a peer in all wrong forms
    When each of them is served
    Then each has an answer

  Scenario Outline: A peer's request to <what> under a key of <count> letters is refused
    # Guards against a process that ends because it is to store a key that fits no record.
    Given an instance that appends for its peers, and a store on the platform
    When a peer asks it to <what> under a key of <count> letters
    Then the peer is told that this was not understood
    And the queue of appends goes on

    Examples:
      | what              | count |
      | append            | 256   |
      | put               | 256   |
      | put in two bytes  | 128   |

  Scenario Outline: <what> of the store raises no error
    # Guards against a process that ends because of one answer of the store, and then
    # again each time it is started.
    Given the store answers <what> with bytes of all kinds
    Then each is a failed call, and none raises an error

    Examples:
      | what                |
      | an append           |
      | a refused append    |
      | a read              |
      | a page of newest    |

  Scenario Outline: <answer> of a peer is no answer
    # Guards against a process that ends, or runs out of memory, because of one answer of a
    # peer, which may be of another version.
    Given the store refuses an instance, and its peer gives <answer>
    Then an append, a read and a page of newest records have no answer

    Examples:
      | answer                          |
      | an answer to another request    |
      | a cut off compressed answer     |
      | an answer of 64 MB in 64 KB     |
      | an answer of an unknown kind    |
      | an answer that is nested        |

  Scenario Outline: A stored record of <what> with a further field that is nested is left out
    # Guards against a crash of all instances at once, and again at each restart: every
    # instance reads the same record.
    Given a stored record of <what>, and one with a further field that is nested
    Then the first is used, and the second raises no error

    Examples:
      | what             |
      | a job            |
      | a job's progress |
      | the backlog      |
      | the holder       |
      | a peer           |
      | the run times    |
      | the urgent need  |
