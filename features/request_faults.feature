Feature: What a caller is told when something goes wrong
  docs/CALLERS.md contains the same table: the service's class, the point of failure,
  what is done and what the caller is told. The keeper of a key is the instance that
  issued it, and the only one that may run the key's request.

  Scenario Outline: <repeat> request, <fault>
    Given 2 entry instances and 3 workers
    And a service "checks" that is "<repeat>"
    When a caller sends a request and the first run is "<fault>"
    Then the outcome is "<outcome>" and it ran <runs> times

    Examples:
      | repeat       | fault            | outcome | runs |
      | idempotent   | not sent         | done    | 1    |
      | exclusive    | not sent         | done    | 1    |
      | at_most_once | not sent         | done    | 1    |
      | idempotent   | refused          | done    | 1    |
      | exclusive    | refused          | done    | 1    |
      | at_most_once | refused          | done    | 1    |
      | exclusive    | fenced           | done    | 1    |
      | at_most_once | fenced           | done    | 1    |
      | idempotent   | lost on the way  | done    | 1    |
      | exclusive    | lost on the way  | done    | 1    |
      | at_most_once | lost on the way  | done    | 1    |
      | idempotent   | answer lost      | done    | 2    |
      | exclusive    | answer lost      | unknown | 1    |
      | at_most_once | answer lost      | unknown | 1    |
      | idempotent   | answer cut short | done    | 2    |
      | exclusive    | answer cut short | unknown | 1    |
      | at_most_once | answer cut short | unknown | 1    |

  Scenario Outline: A repeat under the same key, sent through <other>
    Given 3 entry instances and 3 workers
    And a service "checks" that is "at_most_once"
    When a caller sends a request under a key of "e0"
    And the caller repeats it through "<other>"
    Then both got the same complete answer and it ran 1 times

    Examples:
      | other |
      | e0    |
      | e1    |
      | e2    |

  # Guards against an infringement report that is sent twice: the key's keeper runs the
  # request and dies before the answer is sent; the caller repeats the request through
  # another instance, which cannot know that it ran, and runs it again.
  Scenario: A repeat after its keeper died is unknown and not run again
    Given 3 entry instances and 3 workers
    And a service "checks" that is "at_most_once"
    When a caller sends a request under a key of "e0"
    And instance "e0" dies
    And 3 s pass
    And the caller repeats it through "e1"
    Then the repeat's outcome is "unknown" for "keeper_gone" and it ran 1 times

  Scenario: A key is refused for another body
    Given 2 entry instances and 3 workers
    And a service "checks" that is "exclusive"
    When a caller sends a request under a key of "e0"
    And the caller sends another body under the same key
    Then the repeat's outcome is "not_run" for "key_reused" and it ran 1 times

  Scenario: A forged key is refused
    Given 2 entry instances and 3 workers
    And a service "checks" that is "exclusive"
    When a caller sends a request under a forged key of "e0"
    Then the outcome is "not_run" and it ran 0 times

  # Guards against the outcome "not run, safe to send again" for a request that ran: a
  # request runs, and its key is repeated long after its deadline, when the keeper has
  # forgotten it.
  Scenario Outline: A used key that is repeated after <seconds> s
    Given 2 entry instances and 3 workers
    And a service "checks" that is "exclusive"
    When a caller sends a request under a key of "e0"
    And <seconds> s pass
    And the caller repeats it through "e0"
    Then the repeat's outcome is "<outcome>" for "<reason>" and it ran 1 times

    Examples:
      | seconds | outcome | reason        |
      | 12      | done    |               |
      | 40      | unknown | key_forgotten |

  Scenario: A key whose deadline passed unused is certainly not run
    Given 2 entry instances and 3 workers
    And a service "checks" that is "exclusive"
    When a caller gets a key of "e0" and uses it after 12 s
    Then the outcome is "not_run" and it ran 0 times

  Scenario: Restarting every instance one by one loses nothing
    Given 3 entry instances and 4 workers
    And a service "checks" that is "exclusive"
    When each instance is drained and started anew while callers send
    Then every request was done, or not run and safe to send again

  Scenario: A leaving worker gets no new request, and those in flight end
    Given 3 entry instances and 2 workers
    And a service "checks" that is "exclusive"
    When the instance list marks "w0" as leaving
    And 2 s pass
    And 40 requests are sent in a row
    Then none of them ran on "w0" and all are done

  Scenario: Three times the load is refused early, and no worker is overloaded
    Given 2 entry instances and 2 workers
    And a service "checks" that is "exclusive"
    When 400 requests arrive at once with 1 s to be answered in
    Then each is done or refused with a reason, and some of both
