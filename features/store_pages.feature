Feature: An answer of the store that lists a part is not taken for the whole
  The store lists the newest records page by page, at most 500 records or 1 MB each, and
  limits the size of what it reads from a log.

  Scenario Outline: <count> newest records of <bytes> bytes are read whole, in <pages> pages
    # Guards against workers and jobs that count as removed because they are on a later
    # page.
    Given a store with <count> keys of <bytes> bytes each
    When the newest records are read
    Then all of them are returned, from <pages> pages

    Examples:
      | count | bytes  | pages |
      | 0     | 10     | 1     |
      | 499   | 10     | 1     |
      | 500   | 10     | 1     |
      | 501   | 10     | 2     |
      | 1000  | 10     | 2     |
      | 1001  | 10     | 3     |
      | 9     | 262000 | 3     |

  Scenario: Records that change between two pages are read all the same
    # Guards against a view without a key that has moved from one page to another: the
    # pages are no snapshot.
    Given a store with 1200 keys of 10 bytes each
    When the newest records are read while keys come, change and go between the pages
    And the log is read on from there
    Then the records that are known are the newest ones

  Scenario Outline: A page that <what> is not the last one
    # Guards against workers and jobs that count as removed because the answer about the
    # others was no good.
    Given a store whose second page of 600 keys <what>
    When the newest records are read
    Then it counts as no answer

    Examples:
      | what                                  |
      | has no records, though more follow    |
      | lists the first page's last key again |

  Scenario Outline: A record that a read has cut is not taken for whole: <size> bytes
    # Guards against jobs and progress of which a part is lost: the size of a read is
    # limited, and the last record in it may go on beyond that.
    Given a log of 30 records of 700 bytes whose reads end after <size> bytes
    When the log is read to its end
    Then its 30 records are returned unchanged

    Examples:
      | size |
      | 1423 |
      | 1424 |
      | 1425 |
      | 1428 |
      | 2000 |

  Scenario: A read without a whole record counts as refused
    # Guards against a reader that asks for the same part again without a pause.
    Given a log of 1 records of 700 bytes whose reads end after 500 bytes
    When the log is read
    Then the read counts as refused
