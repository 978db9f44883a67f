Feature: No part of an instance ends unnoticed
  Parts of an instance run as tasks that nobody awaits. An error that ends one of them is
  logged at once, with its place.

  Scenario: The error that ends work in the background is logged
    # Guards against an instance of which a part is dead, while its log says nothing.
    Given work in the background that ends by an error
    Then one line "background: failed" names the work and the error

  Scenario: Work in the background that is cancelled or done is no failure
    Given work in the background that is cancelled, and some that is done
    Then no failure is logged

  Scenario: The error of a callback is logged
    # Guards against errors of callbacks and connections that only reach standard error,
    # which nobody collects.
    Given a callback that ends by an error
    Then one line "loop: error" has the error
