Feature: Messages of peers arrive within the account of the process
  A peer pushes its messages over pynng to the listener of an instance.

  Scenario Outline: A message of <size> bytes arrives whole
    # Guards against a listener that its own peers cannot talk to.
    Given a listener for messages of up to 4194304 bytes
    When a peer pushes messages of 1, <size> and 2 bytes
    Then the messages of 1, <size> and 2 bytes arrive whole

    Examples:
      | size    |
      | 0       |
      | 16384   |
      | 70000   |
      | 4194304 |

  Scenario: A message that is too large ends its connection, and the peer goes on
    # Guards against a peer that is never heard again after one message too large.
    Given a listener for messages of up to 1000 bytes
    When a peer pushes messages of 1, 1001 and 2 bytes
    And the peer pushes messages of 3 bytes until one arrives
    Then the first message has 1 byte, and the last one 3

  Scenario: Requests of peers that are at work hold a bounded amount
    # Guards against an instance that is ended for its memory by large requests of peers
    # that wait for the store.
    Given an instance whose clients may hold 16777216 bytes
    When 32 requests of 4000000 bytes come from peers, none of which gets an answer
    Then at most 8388608 bytes of them are at work
    And a request of 100 bytes is at work, too
