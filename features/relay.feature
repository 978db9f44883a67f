Feature: An instance that the store does not serve reaches it through a peer
  Scenario Outline: Callers of an instance that the store does not serve: <how>
    # Guards against refused jobs at one instance of four, which the store refuses or
    # does not answer while it serves the others: every job submitted there is refused
    # until the load balancer stops using the instance, after five seconds.
    Given a cell of 4 instances and 6 workers that reach the store through one another
    When the store <how> for an instance that does not hold the cell
    And 8 jobs are submitted to it over 6 s
    Then all of them were accepted and are shown as completed within 20 s
    And that instance was ready all the time
    And no promise of the cell was broken

    Examples:
      | how       |
      | refuses   |
      | is silent |

  Scenario: An instance logs why it is not ready, and when it is ready again
    # Guards against an instance that gets no callers for a minute while the operator on
    # call cannot see the reason.
    Given a cell of 3 instances and 4 workers
    When the store is silent for 5 s while an instance is asked each second if it is ready
    Then it has logged "ready: no" once for "view_too_old", and "ready: yes" after it

  Scenario Outline: The holder goes on while the store does not serve it: <how>
    # Guards against a gap of 2.4 s without a start whenever the store does not serve
    # the holder: that is the time until another instance notices and takes over.
    Given a cell of 4 instances and 6 workers that reach the store through one another
    When the store <how> for the holder while jobs are submitted for 6 s
    Then no interval without a start was longer than 1.6 s
    And the same instance holds the cell
    And no promise of the cell was broken

    Examples:
      | how       |
      | refuses   |
      | is silent |

  Scenario: The store is down for all, and relaying does not multiply the calls
    # Guards against each refused call becoming four, when every instance asks three
    # peers that ask the store in turn: callers gain nothing, and refused calls alone
    # reach the store's rate limit.
    Given a cell of 4 instances and 4 workers that reach the store through one another
    When the store refuses for everybody for 5 s
    Then the store got fewer than 500 calls in that time
    And no promise of the cell was broken

  Scenario: A claim whose answer was lost is not sent again through a peer
    # Guards against two holders that send orders under the same fencing token: a claim
    # has no producer id, so the log accepts a repeat as a second claim.
    Given a relay whose store does not answer
    When a claim and an append with a sequence number go through it
    Then its peers got only the append with a sequence number

  Scenario: A silent peer is dropped while several requests wait on its connection
    # Guards against processes that crash, thirteen in a day: with the request sockets
    # of the messaging library, the first request that times out closes the connection,
    # and the others raise or abort the process when they close their side of it.
    Given two processes' peer sockets, of which one does not answer
    When 6 requests go to each at once
    Then all requests to the silent peer return no data
    And all requests to the other are answered
    And a request to the silent peer is answered once it responds again

  Scenario: The store is silent to all and comes back
    # Guards against callers without an answer for three seconds after the store is
    # back, because instances try the store itself only once a second although no peer
    # is served either. Without peers it takes up to 2.4 s: a long-poll read has to time
    # out, and the next one to begin.
    Given a cell of 4 instances and 4 workers that reach the store through one another
    When the store is silent for everybody for 5 s
    Then every instance has read the store again within 2.5 s
    And no promise of the cell was broken

  Scenario: An append that the store may have taken is not reported as refused
    # Guards against a job that runs although its caller is told that it never will: the
    # store takes the record and its answer is lost, then the store refuses three peers,
    # and the last of these outcomes is returned.
    Given a relay whose store does not answer
    And its peers are refused by the store
    When an append with a sequence number goes through it
    Then its outcome is that no answer came

  Scenario: The holder of a long list of workers goes on while the store is silent to it
    # Guards against ten seconds in which no long-running task starts. Several hundred
    # workers write into the list, and the holder is cut off for so long that what it
    # has missed does not pass a peer's slow link before the timeout. It asks for all of
    # it again and again and has missed more each time; nothing is started from a list
    # that old, and peers are skipped for other calls as well.
    Given a cell of 4 instances and 6 workers that reach the store through one another
    And links of 10 Mbit/s, and workers that write 280 kB/s in total into their list
    When the store is silent for the holder while jobs are submitted for 14 s
    Then no interval without a start was longer than 3.5 s
    And the same instance holds the cell
    And no promise of the cell was broken

  Scenario: Reads of many instances stay within the rate that the store serves
    # Guards against reads refused because many instances poll the store too often.
    Given a cell of 12 instances and 4 workers on a store that serves 60 reads a second
    When jobs are submitted for 10 s
    Then the store has refused less than a tenth of the reads
    And all jobs are shown as completed within 10 s

  Scenario: A read that a peer does not answer does not delay an append
    # Guards against a holder that stores nothing for over a second: after one read that
    # did not pass a peer's slow link in time, its appends go to no peer at all.
    Given a relay whose store does not answer
    And 3 peers that do not answer reads
    When a read and then an append with a sequence number go through it
    Then the append is stored

  Scenario: An append that a peer does not answer is repeated through another
    # Guards against a holder that loses the cell because a peer with a busy link does
    # not answer in time, although other peers reach the store.
    Given a relay whose store does not answer
    And 3 peers of which the first that is asked does not answer
    When an append with a sequence number goes through it
    Then the append is stored

  Scenario: Three peers that are turned away too do not hold back an append
    # Guards against a holder that loses the cell while most peers reach the store: with
    # a third of them turned away, one call in 27 meets three of those, and no peer was
    # called for a second after it.
    Given a relay whose store does not answer
    And 9 peers of which the first 3 that are asked are turned away too
    When an append with a sequence number goes through it
    Then the append is stored

  Scenario Outline: Calls go to the peer that served the last one: <calls>
    # Guards against calls that wait for a timeout again and again, because each goes to
    # another peer of which some have a busy link.
    Given a relay whose store does not answer
    And 9 peers
    When 4 <calls> go through it
    Then all of them went to the same peer

    Examples:
      | calls                          |
      | appends with a sequence number |
      | reads of the list of workers   |

  Scenario Outline: A peer that <fails> is not the first to be called again
    # Guards against a holder whose list of workers gets too old to start tasks by,
    # because it asks the one peer again and again whose link has become busy.
    Given a relay whose store does not answer
    And 9 peers
    When 2 reads of the list of workers go through it
    And that peer <fails> the next one
    Then a read of the list of workers goes to another peer

    Examples:
      | fails                  |
      | does not answer        |
      | takes 0.4 s to answer  |

  Scenario: A claim that a peer does not answer is not repeated through another
    # Guards against two holders under the same fencing token: the peer may have stored
    # the claim, and the log accepts a repeat as a second claim.
    Given a relay whose store refuses
    And 3 peers of which the first that is asked does not answer
    When a claim goes through it
    Then only one peer was asked

  Scenario Outline: The holder goes on while large configurations come and the store is silent to it
    # Guards against four seconds in which nothing starts. Each change of the
    # configuration fills the links of all instances, so that what the holder asks of
    # peers does not pass before the timeout; its view of the operator's log becomes too
    # old to start tasks by, and its appends wait with its reads.
    Given a cell of 4 instances and 6 workers that reach the store through one another
    And links of <link> Mbit/s, and a configuration of 300 kB
    When the store is silent for the holder for 9 s while the configuration changes 3 times a second
    Then no interval without a start was longer than <longest> s
    And the same instance holds the cell
    And no promise of the cell was broken

    Examples:
      | link | longest |
      | 10   | 2.5     |
      | 5    | 2.5     |

  Scenario: A large log that keeps changing takes half of a slow link
    # Guards against slow answers to all other calls of an instance: each change of a
    # large configuration is read twice, once by itself and once with all others.
    Given a cell of 4 instances and 6 workers that reach the store through one another
    And links of 10 Mbit/s, and a configuration of 300 kB
    When the configuration changes 3 times a second for 12 s
    Then reading it has taken less than two thirds of the time on each link
    And no instance's view of it was older than 1.8 s

  Scenario: A peer's view does not take an instance back
    # Guards against an evacuation that ends although the operator has not ended it: an
    # instance reads the newest records from the view of a peer that is behind.
    Given a relay that the store serves, and that shares a view up to offset 7
    When a peer that has applied the log up to offset 9 asks for its newest records
    Then it is answered from the store

  Scenario: A peer of an earlier version is answered from the store
    # Guards against wrong answers during an update: an instance that does not know of
    # shared views takes one as if the store had just answered.
    Given a relay that the store serves, and that shares a view up to offset 7
    When a peer of an earlier version asks for its newest records
    Then it is answered from the store

  Scenario: A view that a peer shares counts as old as it is
    # Guards against a job that is taken for a queue closed long ago: an instance reads
    # the operator's log from the view of a peer that has not read it for a second.
    Given a relay that the store serves, and that shares a view up to offset 7
    When that view is 1.2 s old and a peer follows it
    Then the peer considers its own view at least 1.2 s old

  Scenario Outline: Callers of many instances while each append is slow: <gathered>
    # Guards against a store that serves and callers that are refused all the same: the
    # appends of all instances wait in one line, time out and are repeated.
    Given a cell of 24 instances and 4 workers that reach the store through one another
    And instances that <gathered> appends while they are slow
    When the store is at work on each append for 0.1 s, and 20 jobs a second are submitted for 5 s
    Then <share> of them were accepted within 1.5 s
    And nobody was told "not run" of a job that runs
    And no promise of the cell was broken

    Examples:
      | gathered     | share                  |
      | gather       | at least 95 of 100     |
      | don't gather | no more than 50 of 100 |

  Scenario: An instance that appends for others goes down while each append is slow
    # Guards against a line that fills again because all whose records went through that
    # instance append by themselves.
    Given a cell of 24 instances and 4 workers that reach the store through one another
    And an instance that appends for others goes down after 2 s
    When the store is at work on each append for 0.1 s, and 20 jobs a second are submitted for 5 s
    Then at least 85 of 100 of them were accepted within 1.5 s
    And nobody was told "not run" of a job that runs
    And no promise of the cell was broken

  Scenario Outline: A peer that appends for others fails: it <fault>
    # Guards against a caller that is told a job will never run, although the peer has
    # stored it and its answer was lost, and against a job that is stored twice.
    Given an instance that puts its records through a peer
    When the peer <fault> and the store then <store> the instance
    Then the caller is told that the outcome is "<outcome>"

    Examples:
      | fault                           | store   | outcome |
      | stores them and answers         | serves  | yes     |
      | stores them and does not answer | serves  | yes     |
      | stores them and does not answer | refuses | unknown |
      | is gone                         | refuses | unknown |
      | is turned away by the store     | serves  | yes     |
      | is turned away by the store     | refuses | no      |
      | answers what cannot be read     | refuses | unknown |
      | does not know what is asked     | refuses | no      |

  Scenario: A peer's record joins the caller's, and travels no further
    # Guards against a record that two instances put through one another, each waiting
    # for the other: the caller repeats its request at a second instance.
    Given an instance that puts its records through a peer
    When a caller's record waits, and a peer asks to append one of the same key
    Then it was appended once, and put through no peer

  Scenario: An instance on a slow link does not tell its peers at every append
    # Guards against one instance that sends all others on a detour: peers' appends are
    # fast, its own are not, so it changes its mind with each.
    Given an instance that puts its records through a peer
    When its own appends take turns of 0.12 s and its peers' of 0.01 s for 4 s
    Then each peer was told once that appends are slow
