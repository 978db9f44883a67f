Feature: Each caller gets the whole answer to its own request
  The HTTP client with a loopback server that misbehaves once, then answers correctly.
  Timeout 0.3 s.

  # Guards against a caller that reads the answer to another caller's request. An answer
  # comes late, twice, or with trailing data; the connection is used again; the next
  # caller reads what was left.
  Scenario Outline: The first answer is <what>
    Given a peer whose first answer is <what>
    When two requests are made one after the other
    Then the first ends as <first> and the second gets its own complete answer

    Examples:
      | what                          | first      |
      | good                          | Response   |
      | good, with a stray one behind | Response   |
      | cut short                     | CutShort   |
      | without a length              | CutShort   |
      | too large                     | CutShort   |
      | a bad chunk                   | CutShort   |
      | garbage                       | NoResponse |
      | nothing, then closed          | NoResponse |
      | silence                       | NoResponse |
      | half a head, then silence     | NoResponse |
      | half a body, then silence     | NoResponse |
      | late                          | NoResponse |

  Scenario: A connection that was closed while it was idle is not used again
    Given a peer that closes each connection after its answer
    When 5 requests are made one after the other
    Then all get their own complete answers

  Scenario: Connections beyond the bound wait and none is lost
    Given a peer whose first answer is good
    When 40 requests are made at once over 4 connections
    Then all get their own complete answers
    And at most 4 connections were opened
