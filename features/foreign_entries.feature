Feature: Malformed records of other writers are ignored, and valid ones stay in force
  Anybody may write into the platform's logs. A record may lack fields, have fields of a
  wrong type, name an unknown state or service, or be bytes that cannot be decoded.

  Scenario Outline: A worker's entry with <what> is not used
    # Guards against orders to an address that belongs to no worker, or to a worker
    # without capacity, while callers wait for the tasks that were placed there.
    Given a valid worker's entry with <what>
    Then it is decoded as no worker
    And that is logged once however often the entry arrives
    And the same entry in full is decoded as a worker

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
      | an address of port +80     |
      | an address of port 8_0     |
      | an address of port 080     |
      | a port in another script   |
      | a port with a space        |
      | a port of 5,000 digits     |
      | a birth of 4,000 digits    |
      | 2**64 millicores           |
      | an address without a host  |
      | an address with a gap      |
      | an address that is a name  |
      | an address of 300 letters  |
      | an address with a NUL      |
      | 2**64 MB of memory         |
      | a birth of 2**64           |
      | a birth that is a text     |
      | a birth that is null       |
      | a birth that is a fraction |
      | a birth of zero            |
      | bytes that cannot be read  |
      | an empty value             |
      | lists nested and cut off   |
      | lists nested to the end    |
      | objects nested and cut off |
      | nesting in another field   |

  Scenario Outline: An entry under an id <what> is not used
    # Guards against a leader that loses the lead because it cannot name a worker in the
    # header of a call to it.
    Given a valid worker's entry under an id <what>
    Then it is decoded as no worker
    And that is logged once however often the entry arrives

    Examples:
      | what                 |
      | of no letter         |
      | with a line break    |
      | with another script  |
      | that ends in a space |
      | of 249 letters       |

  Scenario: The longest id that is used fits every key under which it is stored
    # Guards against a leader that ends, and each of its successors, because the birth of
    # a worker cannot be stored.
    Given a valid worker's entry under the longest id that is used
    Then it is decoded as a worker, whose birth can be stored

  Scenario Outline: An evacuation with <what> is <verdict>
    # Guards against tasks that go on starting in a data centre where the operator wants
    # none, because another writer stored its bytes under the key of that data centre.
    Given the operator's record of an evacuation with <what>
    Then the evacuation of "dc-7" is <verdict>

    Examples:
      | what                      | verdict |
      | an empty object           | active  |
      | bytes that cannot be read | active  |
      | no value                  | over    |

  Scenario: An entry of a service that the configuration does not name opens no session
    # Guards against a holder that calls whatever listens at the address again and
    # again.
    Given a cell of 3 instances and 4 workers
    And the configuration names its services
    When a worker of a service that it does not name is listed
    And 2 s pass in the cell
    Then the holder knows 4 workers

  Scenario Outline: A <call> that fails in an unforeseen way costs its worker, not the lead
    # Guards against a cell that nobody can hold: each leader in turn makes the same call
    # to the same worker, and steps down because of its error.
    Given a cell of 3 instances and 4 workers
    When each <call> to "w0" ends by an error
    And 2 jobs of 2 steps of 12 tasks are handed in
    Then all jobs are shown as completed within 25 s
    And the holder's term goes on
    And the error of "w0" is logged
    And no promise of the cell was broken

    Examples:
      | call   |
      | report |
      | start  |

  Scenario: Entries that name no worker to use are counted
    Given a cell of 3 instances and 4 workers
    And the configuration names its services
    When a worker of a service that it does not name is listed
    And another writer stores bytes that cannot be read as "x1" in the log of workers
    And 2 s pass in the cell
    Then the holder has counted an entry that is "not_ours"
    And the holder has counted an entry that is "not_understood"

  Scenario Outline: <what> in the list of workers stop no task from starting
    # Guards against a holder that no longer follows the list of workers, and so starts
    # nothing, while it keeps the cell and says that it is ready.
    Given a cell of 3 instances and 4 workers
    And its instances read the list of workers as on the platform
    When another writer stores <what> as "x1" in the log of workers
    And 4 s pass in the cell
    And a job "ef09" of 2 steps of 4 tasks is handed in
    Then the job "ef09" is shown as completed within 10 s
    And the holder's term goes on
    And the holder has counted an entry that is "not_understood"

    Examples:
      | what                       |
      | bytes that cannot be read  |
      | lists nested and cut off   |
      | lists nested to the end    |
      | objects nested and cut off |

  Scenario: A worker whose entry is overwritten is not used until it writes it again
    Given a cell of 3 instances and 4 workers
    When another writer overwrites the entry of "w0" with no value
    And a job "ef01" of 1 steps of 6 tasks is handed in
    Then the job "ef01" is shown as completed within 10 s
    And "w0" has run nothing
    When "w0" writes its entry again
    And 1 s pass in the cell
    Then the holder may use 4 workers

  Scenario Outline: Undecodable bytes under <key> in the log of <log> crash no instance
    # Guards against a crash of all instances at once, and again at each restart: every
    # instance reads the same record.
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

  Scenario Outline: <what> under <key> in the log of <log> crash no instance
    # Guards against the same crash by a value that is nested too deep: its decoder
    # raises another error than for other values that it cannot read.
    Given a cell of 3 instances and 4 workers
    When a job "ef0a" of 2 steps of 4 tasks is handed in
    And another writer stores <what> as "<key>" in the log of <log>
    And 1 s pass in the cell
    And the holder dies
    Then the job "ef0a" is shown as completed within 25 s
    And no promise of the cell was broken
    And 2 instances follow the logs

    Examples:
      | what                            | log      | key              |
      | packed lists nested             | jobs     | 000000000000ffff |
      | packed nesting in another field | jobs     | 000000000000ffff |
      | packed lists nested             | progress | 000000000000ffff |
      | packed nesting in another field | progress | .holder          |
      | packed maps nested              | progress | .interference    |
      | packed lists nested             | progress | .backlog         |
      | packed lists nested             | progress | .learned/run-times |
      | packed nesting in another field | progress | .learned/run-times |
      | packed nesting in another field | progress | .learned/urgent-demand |
      | packed nesting in another field | peers    | i1               |

  Scenario: Progress that a job cannot have costs that job, not the cell
    # Guards against a cell that nobody can hold: the process of each instance that
    # becomes the holder ends, as it cannot rebuild the job's state.
    Given a cell of 3 instances and 4 workers
    When a job "ef07" of 2 steps of 4 tasks is handed in
    And 8 s pass in the cell
    And another writer stores the progress of another job as that of "ef07"
    And 1 s pass in the cell
    And the holder dies
    And a job "ef08" of 1 steps of 4 tasks is handed in
    Then the job "ef08" is shown as completed within 25 s
    And 2 instances follow the logs

  Scenario: A job that another writer deletes as it starts does not end the holder
    # Guards against a holder that ends because the job of a start that it is storing has
    # gone from the log of jobs.
    Given a cell of 3 instances and 4 workers
    And another writer deletes the job "ef0b" while its starts are being stored
    When a job "ef0b" of 1 steps of 8 tasks is handed in
    And 1 s pass in the cell
    And a job "ef0c" of 2 steps of 8 tasks is handed in
    Then the job "ef0c" is shown as completed within 10 s
    And the holder's term goes on

  Scenario Outline: Arbitrary bytes are decoded, or reported and ignored: <what>
    Then arbitrary bytes are decoded or ignored by <what>

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

  Scenario Outline: A configuration with <what> is not used
    # Guards against jobs that no instance can store, and metrics that none can show:
    # their formats hold numbers of 64 bits, the operator's is not limited.
    Given the operator's configuration with <what>
    Then it is not understood, which is logged

    Examples:
      | what                         |
      | a version of 2**64           |
      | a version of 4,000 digits    |
      | a priority of 2**64          |
      | a priority of -2**64         |
      | a priority of 4,000 digits   |
      | 2**64 attempts               |
      | a latency target of 1e300 ms |
      | a stretch factor of 1e300    |
      | an advice time of 1e300 ms   |
      | a body limit of 2**64        |
      | an idle timeout of 1e300 ms  |

  Scenario: Whatever numbers a configuration holds, its jobs are stored and decided on
    # As above, for each number that is let pass.
    Then arbitrary numbers in a configuration fail in no later place

  Scenario Outline: A worker's report with <what> is not understood
    # Guards against a leader that ends because a worker's measurement fits no number
    # that it calculates with.
    Given a worker that answers a report with <what>
    When its report is requested
    Then the worker counts as not answering, which is logged

    Examples:
      | what               |
      | 1e300 percent      |
      | a measure of 1e300 |

  Scenario: An unreadable configuration causes no permanent refusals
    # Guards against answering 404 for a queue that the unreadable configuration may
    # add.
    Given a cell of 3 instances and 4 workers
    When the operator stores an unreadable configuration
    And a job "ef03" of 1 steps of 6 tasks is handed in
    Then the job "ef03" is shown as completed within 10 s
    And every instance answers 503 to a request for an unknown queue
    When the operator stores a readable configuration
    Then every instance answers 404 to a request for an unknown queue

  Scenario Outline: An entry under a sound worker's id with <birth> ends none of its runs
    # Guards against tasks that run twice, and a worker that is used no more: the entry
    # says that the worker has started again, which it has not.
    Given a cell of 3 instances and 4 workers
    And tasks take 6 s
    When a job "ef0d" of 1 steps of 8 tasks is handed in
    And 2 s pass in the cell
    And another writer overwrites the entries of all workers with <birth>
    And 2 s pass in the cell
    Then the holder may use 0 workers
    When all workers write their entries again
    And 1 s pass in the cell
    Then the holder may use 4 workers
    And the job "ef0d" is shown as completed within 12 s
    And no promise of the cell was broken
    And no task was started more often than needed

    Examples:
      | birth              |
      | the largest birth  |
      | a birth 1 s later  |

  Scenario: An entry without a birth does not replace a worker that states one
    # Guards against runs that are released although their worker goes on.
    Given a cell of 3 instances and 4 workers
    And a lasting job "ef05" of 8 tasks is at work
    When another writer overwrites the entry of "w0" with one that states no birth
    And 1 s pass in the cell
    Then the holder may use 3 workers
    And 8 tasks of "ef05" are at work
    When "w0" writes its entry again
    And 1 s pass in the cell
    Then the holder may use 4 workers
    And no promise of the cell was broken

  Scenario: A worker is not used under an entry that states no birth while it states one
    Given a cell of 3 instances and 3 workers
    When a worker "w3" starts whose entry states no birth
    And a job "ef06" of 1 steps of 6 tasks is handed in
    Then the job "ef06" is shown as completed within 10 s
    And "w3" has run nothing
    And the holder may use 3 workers
