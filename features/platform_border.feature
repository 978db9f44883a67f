Feature: The platform's adapters decode valid input and refuse the rest
  Requests go through the real HTTP ingress into an instance of a simulated cell.

  Scenario Outline: <what>
    Given a cell of 3 instances and 4 workers
    When the ingress gets <method> "<path>" for host "<host>" with <body>
    Then it answers <status>
    And nothing but a valid job was stored

    Examples:
      | what                                | method | path                     | host | body             | status |
      | a good job                          | POST   | /urgent/00000000000000aa | host | a job            | 200    |
      | the same with a port in the host    | POST   | /urgent/00000000000000aa | host:80 | a job         | 200    |
      | a path of no queue                  | POST   | /nothing/00000000000000aa | host | a job           | 404    |
      | a host of no queue                  | POST   | /urgent/00000000000000aa | else | a job            | 404    |
      | an id that is too short             | POST   | /urgent/00aa             | host | a job            | 404    |
      | an id that is no hexadecimal        | POST   | /urgent/00000000000000zz | host | a job            | 404    |
      | no JSON                             | POST   | /urgent/00000000000000aa | host | garbage          | 400    |
      | a number for a text                 | POST   | /urgent/00000000000000aa | host | a wrong type     | 400    |
      | no steps                            | POST   | /urgent/00000000000000aa | host | no steps         | 400    |
      | a step of no tasks                  | POST   | /urgent/00000000000000aa | host | an empty step    | 400    |
      | a number beyond 64 bits             | POST   | /urgent/00000000000000aa | host | a huge amount    | 400    |
      | a negative amount                   | POST   | /urgent/00000000000000aa | host | a negative amount | 400    |
      | a step that waits for itself        | POST   | /urgent/00000000000000aa | host | a circle         | 400    |
      | a step that waits for a later one   | POST   | /urgent/00000000000000aa | host | a later step     | 400    |
      | a query for an unknown job          | GET    | /urgent/00000000000000bb | host | nothing          | 410    |
      | a cancellation of an unknown job    | DELETE | /urgent/00000000000000bb | host | nothing          | 410    |
      | a count                             | GET    | /urgent/                 | host | nothing          | 200    |
      | a count of no queue                 | GET    | /nothing/                | host | nothing          | 404    |
      | another method                      | PUT    | /urgent/00000000000000aa | host | a job            | 405    |

  Scenario: Records are unchanged by encoding and decoding
    # Any key and value, including empty ones and bytes that look like length prefixes.
    Then any keyed records are the same after encoding and decoding

  Scenario Outline: The settings file of a process: <what>
    # Guards against every process ending at startup because the decoder of the settings
    # file cannot be built.
    Given a settings file with <what>
    Then it is <verdict>

    Examples:
      | what                       | verdict                         |
      | everything                 | read, and peers are listened to |
      | no ports between processes | read, and peers are not used    |
      | fields that nobody knows   | read, and peers are listened to |
      | no address of the store    | refused with its path           |
      | no settings at all         | refused with its path           |

  Scenario Outline: The operator's bound on <what> sets how long the cell may take
    # Guards against a deployment with bounds of its own running with the thresholds of
    # the default bounds, which act too late there or sooner than needed.
    Given a settings file whose bound <bound> is <bound_ms> ms
    Then the cell's threshold <threshold> is <threshold_s> s

    Examples:
      | what                              | bound      | bound_ms | threshold            | threshold_s |
      | workers that shrink               | contactMs  | 5000     | list_recent_s        | 4.4         |
      | evacuations                       | evacuateMs | 4000     | evacuations_recent_s | 3.4         |
      | serving tasks over their target   | impactMs   | 4500     | silence_after_s      | 1.9         |
      | leases that workers grant         | maxHoldMs  | 12000    | lease_max_s          | 12          |
      | leases that the holder grants     | maxHoldMs  | 5000     | lease_s              | 5           |

  Scenario Outline: <what> in the store does not end an instance
    # Guards against a crash of all instances at once, and again at each restart: each
    # reads the same record. Bytes that are not JSON raise a different error than JSON
    # of a wrong form.
    Given a record of <what> from the operator and from a worker
    Then both are rejected and logged

    Examples:
      | what                   |
      | bytes that are no JSON |
      | no bytes of a text     |
      | JSON of a wrong form   |
      | an address of no port  |

  Scenario: A request that arrived before the listener drains is answered
    # Guards against a caller's connection that ends without an answer while an instance
    # is restarted. The process is busy for a moment and has not read what has already
    # arrived when it begins to drain; it then closes the connections that look idle.
    Given a listener with an open connection
    When a request has arrived and the listener drains at once
    Then the caller gets a complete answer that closes the connection

  Scenario: A request on a new connection that arrived before the listener drains is answered
    Given a listener with an open connection
    When a request on a new connection has arrived and the listener drains at once
    Then the caller gets a complete answer that closes the connection

  Scenario: A request of which half arrived before the listener drains is answered
    Given a listener with an open connection
    When the first half of a request has arrived and the listener drains at once
    Then the caller gets a complete answer that closes the connection
