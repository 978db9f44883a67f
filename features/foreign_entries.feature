Feature: Entries of other writers name nothing, and the others hold
  Anybody may write into the platform's logs. A record may lack fields, have others of other
  types, name a state or a service that nobody knows, or be bytes that cannot be read.

  Scenario Outline: A worker's entry with <what> names no worker to use
    # Orders went to an address that was no worker's, or to one with no room, and callers
    # waited for what was placed there.
    Given a good worker's entry with <what>
    Then it names no worker
    And that is logged once however often it comes
    And the same entry in full names one

    Examples:
      | what                       |
      | no service                 |
      | no address                 |
      | no data centre             |
      | no state                   |
      | no capacity                |
      | no memory                  |
      | a state that nobody knows  |
      | a service that is a number |
      | labels that are a number   |
      | a capacity that is a text  |
      | no processors              |
      | an address without a port  |
      | an address of port 70000   |
      | an address without a host  |
      | bytes that cannot be read  |
      | an empty value             |

  Scenario Outline: An evacuation with <what> is <verdict>
    # Another writer's bytes beside a key that names the data centre: tasks went on starting
    # where an operator wanted none.
    Given the operator's record of an evacuation with <what>
    Then the evacuation of "dc-7" is <verdict>

    Examples:
      | what                      | verdict |
      | an empty object           | active  |
      | bytes that cannot be read | active  |
      | no value                  | over    |

  Scenario: An entry of a service that the configuration does not name opens no session
    # The holder called whatever listened at the address, over and over.
    Given a cell of 3 instances and 4 workers
    And the configuration names its services
    When a worker of a service that it does not name is listed
    And 2 s pass in the cell
    Then the holder knows 4 workers

  Scenario: A worker whose entry is overwritten is not used until it writes again
    Given a cell of 3 instances and 4 workers
    When another writer overwrites the entry of "w0" with nothing that can be read
    And a job "ef01" of 1 steps of 6 tasks is handed in
    Then the job "ef01" is shown as completed within 10 s
    And "w0" has run nothing
    When "w0" writes its entry again
    And 1 s pass in the cell
    Then the holder may use 4 workers

  Scenario Outline: Bytes that cannot be read under <key> in the log of <log> end nobody
    # Every instance reads the same record: all ended at once, and again at each start.
    Given a cell of 3 instances and 4 workers
    When a job "ef02" of 2 steps of 4 tasks is handed in
    And another writer stores bytes that cannot be read as "<key>" in the log of <log>
    And 1 s pass in the cell
    And the holder dies
    Then the job "ef02" is shown as completed within 25 s
    And no promise of the cell was broken
    And 2 instances follow the logs

    Examples:
      | log      | key              |
      | jobs     | 000000000000ffff |
      | jobs     | 000000000000ef02 |
      | progress | 000000000000ffff |
      | progress | .holder          |
      | progress | .interference    |
      | progress | .swings          |
      | progress | .lapses          |
      | peers    | i1               |

  Scenario Outline: Any bytes at all are read, or named and left: <what>
    Then any bytes at all are read or left by <what>

    Examples:
      | what                          |
      | the reader of records         |
      | the workers' log              |
      | the operator's log            |
      | the log of jobs               |
      | the log of progress           |
      | the log of peers              |
      | who watches the holder        |
      | pages of newest records       |

  Scenario: An unreadable configuration causes no permanent refusals
    # Guards against answering 404 for a queue that the unreadable configuration may add.
    Given a cell of 3 instances and 4 workers
    When the operator stores an unreadable configuration
    And a job "ef03" of 1 steps of 6 tasks is handed in
    Then the job "ef03" is shown as completed within 10 s
    And every instance answers 503 to a request for an unknown queue
    When the operator stores a readable configuration
    Then every instance answers 404 to a request for an unknown queue
