Feature: The configuration never reverts to an older state
  The configuration's state machine, without I/O, applies one record at a time. A
  filled rack is one whose drain has ended.

  # Guards against a drained rack that gets tasks again although nobody ended the drain:
  # a lagging peer or a repeated read delivers an old record once more.
  Scenario Outline: An old record that is delivered again <when> changes nothing
    Given a configuration with a rack drained at 0, filled at 1 and drained at 2
    When the record of offset <offset> is delivered again
    Then it is stale, and the rack is drained at offset 2

    Examples:
      | when           | offset |
      | as the newest  | 2      |
      | as an older    | 1      |
      | as the oldest  | 0      |

  Scenario: A record appended twice takes effect once
    Given a configuration with a rack drained at 0, filled at 1 and drained at 2
    When the record of offset 1 is appended again at offset 3
    Then it is void for "repeated", and the rack is drained at offset 3

  Scenario: A record computed from an older state is void
    Given a configuration with a rack drained at 0, filled at 1 and drained at 2
    When a record computed at offset 1 is appended at offset 3
    Then it is void for "changed", and the rack is drained at offset 3

  Scenario Outline: A snapshot through offset <through> reaches a reader at offset 2
    Given a configuration with a rack drained at 0, filled at 1 and drained at 2
    When a snapshot through offset <through> with the rack filled is restored
    Then the rack is <state> at offset <offset>

    Examples:
      | through | state   | offset |
      | 1       | drained | 2      |
      | 2       | drained | 2      |
      | 3       | filled  | 3      |

  Scenario Outline: Thresholds that an operator sets: <what>
    # A value in the wrong unit would let leases last for hours. All errors are reported
    # at once.
    When thresholds are read from <text>
    Then <outcome>

    Examples:
      | what              | text                                                     | outcome                                                          |
      | nothing           | {}                                                       | they are the defaults                                            |
      | one of each       | {"cell": {"lease_s": 6}, "instance": {"stale_s": 2}}     | the lease is 6 s and a view is stale after 2 s                   |
      | a whole number    | {"cell": {"failures_in_row": 3}}                         | a worker rests after 3 failures                                  |
      | a part turned off | {"cell": {"keeps_urgent_room": false}}                   | no room is kept for urgent jobs                                  |
      | a number for it   | {"cell": {"keeps_urgent_room": 0}}                       | the file is refused for "keeps_urgent_room is 0.0, not true or"  |
      | a slip of unit    | {"cell": {"lease_s": 8000}}                              | the file is refused for "lease_s is 8000"                        |
      | two errors        | {"cell": {"lease": 8}, "instance": {"stale_s": 0}}       | the file is refused for "cell.lease is not known; instance.stale" |
      | an unknown part   | {"cells": {}}                                            | the file is refused for "cells"                                  |
      | a text            | {"cell": {"lease_s": "8"}}                               | the file is refused for "Expected"                               |
      | more than all     | {"instance": {"jobs_memory_ratio": 0.7}}                 | the file is refused for "0.95 of the whole, above 0.9"           |
      | too many clients  | {"instance": {"client_sockets_ratio": 1}}                | the file is refused for "client_sockets_ratio: 1 of the whole"   |
      | what is told      | {"instance": {"cores": 8}}                               | the file is refused for "instance.cores is not known"            |
      | no JSON           | {                                                        | the file is refused for "truncated"                              |
