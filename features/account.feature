Feature: One account bounds what the clients of a process hold together
  Here 8 connections may hold 1,000,000 bytes beside 16 KiB each, which are not charged.
  The callers' listener and that of peers keep two of the connections each.

  Scenario Outline: A process of <memory> MB and <descriptors> descriptors
    # Guards against limits that are kept one by one and pass the process's together.
    When the account of a process of <memory> MB and <descriptors> descriptors is made
    Then connections and what they hold take a quarter of the memory, clients and workers at most the sockets
    And a request of 262144 bytes fits it <requests> times or more

    Examples:
      | memory | descriptors | requests |
      | 120    | 400         | 60       |
      | 160    | 4100        | 60       |
      | 200    | 4100        | 80       |
      | 300    | 4100        | 120      |
      | 552    | 8192        | 200      |

  Scenario: When connections are full, the longest idle one makes room
    Given 8 connections of callers, of which the first 2 are at work
    When one more connection of callers comes
    Then it is admitted, and connection 3 has ended for "connections"

  Scenario: When none is idle, the one that has waited longest for its client makes room
    Given 8 connections of callers, all of which began a request, the last one first
    When one more connection of callers comes
    Then it is admitted, and connection 8 has ended for "connections"

  Scenario: Requests at work are not ended for room
    # Guards against jobs that are stored, while their callers hear nothing.
    Given 8 connections of callers, of which the first 8 are at work
    When one more connection of callers comes
    Then it is turned away, and none has ended

  Scenario: A listener keeps its part of the connections
    # Guards against readiness or peers without connections beside a crowd of callers.
    Given 8 connections of callers, of which the first 0 are at work
    When two connections of peers come, and ten of callers
    Then both connections of peers are still there

  Scenario: When bytes are full, the connection that holds most for longest ends
    Given 3 connections of callers that hold 500000, 300000 and 200000 bytes for 1, 4 and 2 s
    When a connection asks for 150000 bytes at once
    Then it gets them, and connection 2 has ended for "memory"

  Scenario: A short request is served when the account is full
    # Guards against a crowd of large bodies that turns ordinary callers away.
    Given 3 connections of callers that hold 500000, 300000 and 200000 bytes for 1, 4 and 2 s
    When a connection asks for 16384 bytes at once
    Then it gets them, and none has ended

  Scenario: Who holds most itself is refused
    Given 3 connections of callers that hold 500000, 300000 and 200000 bytes for 0, 0 and 0 s
    When the first connection asks for 900000 bytes after 9 s
    Then it is refused, and none has ended

  Scenario: What was ended is logged in bounded number
    # Guards against a crowd that fills the log.
    Given 8 connections of callers, of which the first 0 are at work
    When 1000 more connections of callers come within 10 s
    Then all are counted, in 2 to 4 lines

  Scenario: Work of a crowd is shared with other tasks by turns
    # Guards against an event loop that serves nothing but a crowd.
    Given 100 connections that each ask for 10 turns, of which 8 are given at a time
    When another task counts the iterations meanwhile
    Then it has counted 100 at least, and all have had their turns evenly

  Scenario: An answer that nobody reads keeps no body
    # Guards against bodies that are held, and not charged, for as long as their senders
    # leave the answers unread.
    Given a listener whose answers are larger than the buffers on the way
    When a client sends a body and does not read the answer
    Then only the answer is charged, and nothing holds the body
