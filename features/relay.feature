Feature: An instance that the store turns away reaches it through a peer
  Scenario Outline: Callers of an instance that the store turns away: <how>
    # A dispatcher meets one instance of four that the store refuses or ignores, while it
    # serves the others: every job handed in there was refused until the balancer looked
    # away, after five seconds.
    Given a cell of 4 instances and 6 workers that reach the store through one another
    When the store <how> for an instance that does not hold the cell
    And 8 jobs are handed in there over 6 s
    Then all of them were accepted and are shown as completed within 20 s
    And that instance was ready all the time
    And no promise of the cell was broken

    Examples:
      | how       |
      | refuses   |
      | is silent |

  Scenario: An instance says why callers are better served elsewhere, and when no more
    # On call sees an instance without callers for a minute and cannot tell why.
    Given a cell of 3 instances and 4 workers
    When the store is silent for 5 s while an instance is asked each second if it is ready
    Then it has logged "ready: no" once for "view_too_old", and "ready: yes" after it

  Scenario Outline: The holder goes on while the store turns it away: <how>
    # Nothing started for 2.4 s whenever the store turned the holder away, until another
    # instance had noticed and taken over.
    Given a cell of 4 instances and 6 workers that reach the store through one another
    When the store <how> for the holder while jobs are handed in for 6 s
    Then no span without a start was longer than 1.6 s
    And the same instance holds the cell
    And no promise of the cell was broken

    Examples:
      | how       |
      | refuses   |
      | is silent |

  Scenario: The store is away for all, and peers ask one another in vain
    # Each refused call may become four if every instance asks three peers, who ask the
    # store in turn: callers gain nothing, and the store's limit is reached by refusals.
    Given a cell of 4 instances and 4 workers that reach the store through one another
    When the store refuses for everybody for 5 s
    Then the store got fewer than 500 calls meanwhile
    And no promise of the cell was broken

  Scenario: A claim whose answer was lost is not sent again through a peer
    # Two holders would give orders under one token: a claim names no producer, so the log
    # takes a repeat as a second claim.
    Given a relay whose store does not answer
    When a claim and a numbered append go through it
    Then its peers saw the numbered append only

  Scenario: A silent peer is dropped while several requests wait on its connection
    # Whole processes ended by themselves, thirteen in a day: with request sockets of the
    # library, the first request that gave up closed the connection, and the others raised
    # or ended the process when they closed their part of it.
    Given two processes' peer sockets, of which one does not answer
    When 6 requests go to each at once
    Then all requests to the silent peer come back empty
    And all requests to the other are answered
    And a request to the silent peer is answered once it speaks again

  Scenario: The store is silent to all and comes back
    # Callers were given no answer for three seconds after the store was back: the store
    # itself was tried only once a second, though no peer was served either. Without peers
    # it takes up to 2.4 s: a long read has to time out, and the next to begin.
    Given a cell of 4 instances and 4 workers that reach the store through one another
    When the store is silent for everybody for 5 s
    Then every instance has read the store again within 2.5 s
    And no promise of the cell was broken

  Scenario: What the store may have done is not called refused because peers were
    # A caller was told that its job never runs, and it ran: the store had taken the record
    # and its answer was lost, then three peers were refused, and the last word counted.
    Given a relay whose store does not answer
    And its peers are refused by the store
    When a numbered append goes through it
    Then its outcome is that no answer came

  Scenario: The holder of a long list of workers goes on while the store is silent to it
    # Lasting tasks stood still for ten seconds: several hundred workers wrote into the list,
    # and the holder was away for long enough that what it had missed did not pass a peer's
    # narrow link in time. It asked for as much again and again, and had missed more each
    # time; nothing started by a list that old, and peers were left alone for other calls.
    Given a cell of 4 instances and 6 workers that reach the store through one another
    And links of 10 Mbit/s, and workers that write 280 kB/s into their list together
    When the store is silent for the holder while jobs are handed in for 14 s
    Then no span without a start was longer than 3.5 s
    And the same instance holds the cell
    And no promise of the cell was broken

  Scenario: Reads of many instances stay within the rate that the store serves
    # Guards against reads refused because many instances poll the store too often.
    Given a cell of 12 instances and 4 workers on a store that serves 60 reads a second
    When jobs are handed in for 10 s
    Then the store has refused less than a tenth of the reads
    And all jobs are shown as completed within 10 s
