Feature: The contract of the platform's ports
  Checks what docs/PLATFORM.md assumes against the HTTP adapters and the stand-ins
  over loopback sockets. An adapter for another platform must pass the same checks.

  Scenario Outline: A worker, <promise>
    Given the ports to stand-ins
    When the ports are checked for "<promise>"
    Then the contract holds

    Examples:
      | promise                                      |
      | a claim raises the epoch and lists all       |
      | an older epoch is refused without effect     |
      | a repeated start changes nothing             |
      | a start past its lease deadline is refused   |
      | a lapsed lease ends the attempt              |
      | an end is listed until acknowledged          |
      | a renewal leaves out what goes on            |
      | a renewal names what is absent               |
      | a stop gives a checkpoint that resumes       |
      | what does not fit is refused                 |
      | a request runs once and is answered whole    |
      | a barred key never runs                      |
      | a key that ran is not called never run       |
      | a worker that is gone was certainly not sent |
      | a read shows all appends before it           |
      | an append whose answer is lost is ambiguous  |
      | a log that is down says so                   |
      | an unchanged instance list is not sent again |
