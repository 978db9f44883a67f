Feature: Clients that do not behave end no process
  Real processes on loopback, with little memory and few descriptors in their settings. A
  crowd of clients sends more than it may and holds on. The process lives, what it holds
  stays within its settings, and ordinary callers get answers. Of its descriptors, 200
  are kept for files, as on the machines.

  Scenario Outline: An entry outlives <count> <crowd>
    # Guards against an entry that is ended for its memory by the sum of what clients send.
    Given an entry of 120 MB and 400 descriptors whose operator allows bodies of <allowed> bytes
    When a crowd of <count> "<crowd>" has come to the "<listener>"
    Then an ordinary request is answered after the crowd has left
    And the process lives and has stayed within its settings

    Examples:
      | count | crowd                      | listener  | allowed |
      | 40    | unfinished bodies          | callers   | 4194304 |
      | 40    | unfinished chunked bodies  | callers   | 4194304 |
      | 40    | unfinished bodies          | callers   | 262144  |
      | 40    | unfinished bodies          | readiness | 262144  |
      | 40    | unfinished bodies          | metrics   | 262144  |
      | 40    | unfinished messages        | peers     | 262144  |
      | 8     | bodies of many steps       | callers   | 262144  |
      | 2     | large bodies of many steps | callers   | 4194304 |

  Scenario Outline: Ordinary callers are answered beside <count> <crowd> on <listener>
    # Guards against a crowd that takes the loop, the connections or the descriptors of
    # an entry from all others, for as long as it stays.
    Given an entry of 120 MB and 400 descriptors whose operator allows bodies of 4194304 bytes
    When a crowd of <count> "<crowd>" has come to the "<listener>"
    Then ordinary requests are answered beside the crowd
    And an ordinary request is answered after the crowd has left
    And the process lives and has stayed within its settings

    Examples:
      | count | crowd                    | listener  |
      | 8     | bodies of smallest parts | callers   |
      | 40    | callers that never read  | callers   |
      | 40    | callers that never read  | metrics   |
      | 250   | silent connections       | callers   |
      | 250   | silent connections       | readiness |
      | 250   | silent connections       | metrics   |
      | 250   | silent connections       | peers     |
      | 250   | silent peers             | peers     |
      | 250   | halves of a head         | callers   |

  Scenario: A crowd on all listeners together leaves room for ordinary callers
    # Guards against listeners whose limits are kept one by one and pass the process's
    # descriptors together.
    Given an entry of 120 MB and 400 descriptors whose operator allows bodies of 262144 bytes
    When a crowd of 80 "silent connections" has come to the "callers"
    And a crowd of 80 "silent connections" has come to the "readiness"
    And a crowd of 80 "silent connections" has come to the "metrics"
    And a crowd of 80 "silent connections" has come to the "peers"
    Then ordinary requests are answered beside the crowd
    And an ordinary request is answered after the crowd has left
    And the process lives and has stayed within its settings

  Scenario Outline: A process beside <count> <crowd> ends when it is told to
    # Guards against a process that is killed at the end of its grace, as it waits for
    # clients that never finish.
    Given an entry of 120 MB and 400 descriptors whose operator allows bodies of 262144 bytes
    When a crowd of <count> "<crowd>" has come to the "callers"
    And the process gets SIGTERM
    Then it ends with status 0

    Examples:
      | count | crowd                    |
      | 40    | unfinished bodies        |
      | 40    | callers that never read  |
      | 250   | halves of a head         |

  Scenario Outline: A small request for <what> is refused, and nothing is stored
    # Guards against one small job that ends every instance that holds the cell after it.
    Given an entry of 120 MB and 400 descriptors whose operator allows bodies of 262144 bytes
    When a caller hands in <what>
    Then it is refused with status 400, and its state with status 410
    And an ordinary request is answered after the crowd has left
    And the process lives and has stayed within its settings

    Examples:
      | what                               |
      | a job of a million tasks           |
      | a job of a million occurrences     |
      | a job of a payload of 200000 bytes |

  Scenario: Jobs that are each small enough do not end an instance together
    # Guards against an instance that is ended for its memory by the sum of the jobs.
    Given an entry of 120 MB and 400 descriptors whose operator allows bodies of 262144 bytes
    When callers hand in 100 jobs of 4000 tasks that no worker can hold
    And the crowd's jobs are cancelled
    Then an ordinary request is answered after the crowd has left
    And the process lives and has stayed within its settings

  Scenario Outline: Ordinary jobs end beside <count> jobs of <steps> steps
    # Guards against a holder whose decisions take so long that it loses the cell, for
    # jobs that are each small enough.
    Given an entry of 300 MB and 4100 descriptors whose operator allows bodies of 262144 bytes
    When callers hand in <count> jobs of <steps> steps
    Then ordinary requests are answered beside the crowd
    And an ordinary job is completed after the crowd's jobs are cancelled
    And the process lives and has stayed within its settings

    Examples:
      | count | steps |
      | 40    | 1000  |
      | 250   | 360   |

  Scenario Outline: A caller that sends <what> reads the refusal
    # Guards against a refusal that is lost, as closing with unread bytes resets the
    # connection.
    Given an entry of 120 MB and 400 descriptors whose operator allows bodies of 262144 bytes
    When a caller sends <what> and then reads
    Then it has read a whole answer of status <status>
    And the process lives and has stayed within its settings

    Examples:
      | what                                  | status |
      | a body just over the operator's limit | 413    |
      | a body far over the limit             | 413    |
      | chunks far over the limit             | 413    |
      | a head far over the limit             | 431    |

  Scenario Outline: An instance of the own interface outlives <count> <crowd>
    # Guards against an instance that is ended for its memory by the sum of what clients
    # send, or by requests that wait.
    Given an instance of the own interface, of 256 MB and 1024 descriptors
    When a crowd of <count> "<crowd>" has come to the "<listener>"
    Then an ordinary request is answered after the crowd has left
    And the process lives and has stayed within its settings

    Examples:
      | count | crowd                     | listener  |
      | 90    | unfinished bodies         | callers   |
      | 90    | unfinished chunked bodies | callers   |
      | 90    | unfinished bodies         | operators |
      | 90    | requests that wait        | callers   |
      | 90    | unfinished messages       | peers     |

  Scenario: A crowd on all listeners of the own interface leaves room for callers
    # Guards against listeners whose limits are kept one by one and pass the process's
    # descriptors together.
    Given an instance of the own interface, of 256 MB and 1024 descriptors
    When a crowd of 500 "silent connections" has come to the "callers"
    And a crowd of 500 "silent connections" has come to the "operators"
    And a crowd of 100 "silent peers" has come to the "peers"
    Then ordinary requests are answered beside the crowd
    And an ordinary request is answered after the crowd has left
    And the process lives and has stayed within its settings

  Scenario: Jobs that are each small enough do not end an instance of the own interface
    # Guards against an instance that is ended for its memory by the sum of the jobs.
    Given an instance of the own interface, of 256 MB and 1024 descriptors
    When callers hand in 60 jobs of 10000 tasks to the own interface
    Then an ordinary request is answered after the crowd has left
    And the process lives and has stayed within its settings

  Scenario: The largest requests inside the pages' limits are served
    # Guards against limits that ordinary clients meet.
    Given an entry of 120 MB and 400 descriptors whose operator allows bodies of 262144 bytes
    When a payload of 4000 bytes is handed in in the largest head and body
    Then it is accepted
    And the process lives and has stayed within its settings

  Scenario: The operator's limits are in force when the configuration is
    # Guards against limits that the operator sets and nobody applies.
    Given a process on the platform
    When a configuration allows heads of 2000 bytes in 1 s, bodies of 3000 and 4 s of idleness
    Then these are the limits of the callers' listener, and its other limits are unchanged

  Scenario: Metrics are collected once for all who ask within a moment
    # Guards against clients that keep the event loop busy by asking for metrics.
    When the metrics of an instance are asked for 100 times
    Then they were collected twice at most, and each answer has them
