Feature: Parsers accept or refuse any input and never crash
  Input is generated for each parser: valid input survives a round trip, and invalid
  input is refused with an error value or a ValueError, never with another exception.

  Scenario Outline: <parser> on generated input
    When "<parser>" is tried on generated input
    Then it accepted or refused every input

    Examples:
      | parser                     |
      | request keys, any text     |
      | request keys, round trip   |
      | attempt ids, any text      |
      | attempt ids, round trip    |
      | settings, any text         |
      | settings, any JSON         |
      | records, any bytes         |
      | peer messages, any bytes   |
      | request heads, any bytes   |
      | answer heads, any bytes    |
      | peer requests, any bytes   |
      | clocks keep deadlines safe |
      | books never overdraw       |
