Feature: Parsers take anything and never break
  Generated input at each border: what is good comes back as it went in, and what is
  not is refused as a value or with ValueError, never with another exception.

  Scenario Outline: <parser> on generated input
    When "<parser>" is tried on generated input
    Then it took or refused everything

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
      | clocks keep deadlines safe |
      | books never overdraw       |
