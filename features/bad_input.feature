Feature: Bad input gets a clear error and affects no other caller
  A real listener on a loopback socket, with limits of 2,000 bytes for the head of a
  request, 1,000 for its body and 0.2 s for receiving either of them.

  Scenario Outline: <what>
    Given a listener
    When a peer sends <bytes>
    Then it is answered with status <status> and the listener goes on serving

    Examples:
      | what                         | bytes                          | status |
      | a good request               | good                           | 200    |
      | two requests in one packet   | two at once                    | 200    |
      | a chunked body               | chunked                        | 200    |
      | no HTTP at all               | garbage                        | 400    |
      | a line feed without return   | a bare line feed               | 400    |
      | a folded header              | a folded header                | 400    |
      | both framings                | both framings                  | 400    |
      | two lengths                  | two lengths                    | 400    |
      | a negative length            | a negative length              | 400    |
      | an odd chunk size            | an odd chunk size              | 400    |
      | an unknown transfer encoding | an unknown transfer encoding   | 501    |
      | a null byte in a header      | a null byte in a header        | 400    |
      | a head that never ends       | a head that never ends         | 431    |
      | a header that is too large   | a large header                 | 431    |
      | a length that is too large   | a large length                 | 413    |
      | chunks that are too many     | endless chunks                 | 413    |
      | a head that comes too slowly | half a head                    | 0      |
      | a body that comes too slowly | half a body                    | 0      |

  Scenario Outline: A caller sends <what> to <path>
    Given 2 entry instances and 2 workers
    And a service "checks" that is "exclusive"
    When a caller posts <body> to "<path>"
    Then the call is refused with status <status>, saying "<word>"

    Examples:
      | what              | path                 | body                         | status | word     |
      | no JSON           | /v1/jobs             | {                            | 400    | truncated |
      | a wrong type      | /v1/jobs             | {"job_id": 7}                | 400    | str      |
      | NaN               | /v1/keys             | {"valid_s": NaN}             | 400    | JSON     |
      | a negative count  | /v1/keys             | {"count": -1}                | 400    | count    |
      | too many keys     | /v1/keys             | {"count": 100000}            | 400    | at most  |
      | an unknown field  | /v1/keys             | {"counts": 1}                | 400    | unknown  |
      | a negative size   | /v1/jobs             | negative                     | 400    | >= 0     |
      | an unknown path   | /v1/nothing          | {}                           | 404    | nothing  |
      | an unknown service| /v1/requests/nothing | {}                           | 404    | unknown_service |
      | an empty service  | /v1/requests/        | {}                           | 404    | requests |

  Scenario Outline: <form> in a <body> raise no error
    # Guards against status 500 and against a reader that ends, as a decoder raises
    # another error for values that are nested too deep.
    Given the decoder of a <body>
    When it is handed <form>
    Then it refuses them

    Examples:
      | body             | form                        |
      | caller's job     | nested lists                |
      | caller's job     | nested lists before the tag |
      | caller's keys    | nested lists                |
      | operator's plan  | nested lists                |
      | operator's plan  | nested lists before the tag |
      | operator's order | nested lists                |
      | operator's order | nested lists before the tag |
      | peer's message   | nested lists                |
      | peer's message   | nested lists before the tag |
      | log's record     | nested lists                |
      | log's record     | nested lists before the tag |
      | worker's answer  | nested lists                |
      | worker's answer  | nested lists before the tag |
      | worker's answer  | a state that nobody knows   |
      | list of workers  | nested lists before the tag |
      | page of a log    | nested lists before the tag |
      | settings file    | nested lists                |

  Scenario Outline: Events from <text> on are refused
    Given 2 entry instances and 2 workers
    When an operator asks for the events from "<text>" on
    Then that is refused with status 400

    Examples:
      | text |
      | ²    |
      | -1   |
      | x    |

  Scenario Outline: A request with a timeout of <text>
    Given 2 entry instances and 2 workers
    And a service "checks" that is "exclusive"
    When a caller sends a request with a timeout of "<text>"
    Then the call is refused with status 400, saying "positive"

    Examples:
      | text |
      | nan  |
      | inf  |
      | -1   |
      | 0    |
      | soon |

  Scenario Outline: A peer message with <what> is dropped and counted
    Given the peer sockets of an instance
    When a message with <what> arrives
    Then nothing is delivered, one message was dropped, and the next good one arrives

    Examples:
      | what               |
      | a wrong key        |
      | an unknown version |
      | another data centre|
      | no readable body   |
      | no bytes           |

  Scenario Outline: Settings with <what>
    When settings with <what> are checked
    Then the errors name exactly <places>

    Examples:
      | what             | places                                  |
      | no fault         | nothing                                 |
      | an unknown key   | listen.spare                            |
      | a host name      | platform.log.host                       |
      | three faults     | instance_id listen.callers.port peer_key |
      | a short lease    | timing                                  |
      | itself as a peer | (file)                                  |
