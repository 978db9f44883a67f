Feature: The platform's border decodes what is good and refuses the rest
  Requests go through the real border into an instance of a played cell.

  Scenario Outline: <what>
    Given a cell of 3 instances and 4 workers
    When the border gets <method> "<path>" for host "<host>" with <body>
    Then it answers <status>
    And nothing more than a good job was stored

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
      | a step that waits for itself        | POST   | /urgent/00000000000000aa | host | a circle         | 400    |
      | a step that waits for a later one   | POST   | /urgent/00000000000000aa | host | a later step     | 400    |
      | a query for an unknown job          | GET    | /urgent/00000000000000bb | host | nothing          | 410    |
      | a cancellation of an unknown job    | DELETE | /urgent/00000000000000bb | host | nothing          | 410    |
      | a count                             | GET    | /urgent/                 | host | nothing          | 200    |
      | a count of no queue                 | GET    | /nothing/                | host | nothing          | 404    |
      | another method                      | PUT    | /urgent/00000000000000aa | host | a job            | 405    |

  Scenario: Records go through the wire unchanged
    # Any key and value, also empty ones and bytes that look like lengths.
    Then any keyed records are the same after the wire

  Scenario Outline: The settings file of a process: <what>
    # Every process ended at its start: the reader of the settings could not be built.
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
    # A bound of another deployment was kept to by the figure of the usual one: too late
    # there, or sooner than needed.
    Given a settings file whose bound <bound> is <bound_ms> ms
    Then the cell's threshold <threshold> is <threshold_s> s

    Examples:
      | what                              | bound      | bound_ms | threshold            | threshold_s |
      | workers that shrink               | contactMs  | 5000     | list_recent_s        | 4.4         |
      | evacuations                       | evacuateMs | 4000     | evacuations_recent_s | 3.4         |
      | serving tasks over their target   | impactMs   | 4500     | silence_after_s      | 1.9         |

  Scenario Outline: <what> in the store does not end an instance
    # All instances would end at once, and again at each start: each reads the same record.
    # Bytes that are no JSON raise another error than JSON of a wrong form.
    Given a record of <what> from the operator and from a worker
    Then neither is taken and both are logged

    Examples:
      | what                   |
      | bytes that are no JSON |
      | no bytes of a text     |
      | JSON of a wrong form   |
      | an address of no port  |

  Scenario: A request that arrived before the listener drains is answered
    # A caller's connection ends without an answer while an instance is being restarted.
    # The process was busy for a moment and had not read yet what had arrived when its time
    # to drain came; it closed the connections on which it waited for a request.
    Given a listener with an open connection
    When a request has arrived and the listener drains at once
    Then the caller has a whole answer that closes the connection

  Scenario: A request on a new connection that arrived before the listener drains is answered
    Given a listener with an open connection
    When a request on a new connection has arrived and the listener drains at once
    Then the caller has a whole answer that closes the connection

  Scenario: Half a request that arrived before the listener drains is answered
    Given a listener with an open connection
    When the first half of a request has arrived and the listener drains at once
    Then the caller has a whole answer that closes the connection
