Feature: A cell runs the steps of advised queues where the advice allows
  Which workers the service of advice is asked about, what its answers allow, and when
  they are forgotten.

  Scenario: Steps of an advised queue go only where they are allowed
    Given a cell of 3 instances and 6 workers
    And advice allows only the workers "w0" and "w1"
    When a job "ab02" of 1 steps of 6 tasks is handed in for advice
    Then the job "ab02" is shown as completed within 15 s
    And it ran only on "w0" and "w1"

  Scenario: A step whose workers are named late in the list starts
    # A dispatcher waits for ever in an empty cell. The service of advice lets the step run
    # only on two of 40 workers, and the question names the same first 24 with room each
    # time; nobody ever asks about the others.
    Given a cell of 3 instances and 40 workers
    And advice allows only the workers "w38" and "w39"
    When a job "ac04" of 1 steps of 6 tasks is handed in for advice
    Then the job "ac04" is shown as completed within 10 s
    And it ran only on "w38" and "w39"
    And nobody was asked again about a worker that may not run the step

  Scenario: A gang gets advice on as many workers as it needs
    # A gang waits for ever in an empty cell: the first of the two workers that may run it
    # has room for some members only. One ticket with room was taken to be enough, so
    # nobody asked about the second, and a later answer replaced what the first had said.
    Given a cell of 3 instances and 40 workers
    And advice allows only the workers "w0" and "w39"
    When a gang job "ac05" of 6 tasks of 4 cores is handed in for advice
    Then the job "ac05" is shown as completed within 10 s
    And it ran only on "w0" and "w39"

  Scenario: Advice is forgotten with the step that it is about
    # A holder of days grows until its machine ends it: what was asked and answered about
    # a step was kept for good, also after the step was done and the job forgotten.
    Given a cell of 3 instances and 6 workers
    And advice allows only the workers "w0" and "w1"
    When a job "ac06" of 2 steps of 6 tasks is handed in for advice
    And a job "ac07" of 1 steps of 300 tasks is handed in for advice
    And 1 s pass in the cell
    And the job "ac07" is cancelled at once
    Then the job "ac06" is shown as completed within 15 s
    And no advice is kept 3 s later

  Scenario: A job runs when advice is enabled for its queue after it was accepted
    # Guards against reading advice from the stored job: every start would be refused.
    Given a cell of 3 instances and 6 workers
    And tasks take 2 s
    And advice allows only the workers "w0" and "w1"
    When a job "ac08" of 2 steps of 4 tasks is handed in
    And 1 s pass in the cell
    And advice is enabled for the urgent queue
    Then the job "ac08" is shown as completed within 20 s
    And no promise of the cell was broken

  Scenario: A worker that the service of advice did not know yet is asked about again
    # Guards against a step that never starts although an allowed worker is free.
    Given a cell of 3 instances and 6 workers
    And advice allows only the workers "w0" and "w9"
    And "w0" drains
    When a worker "w9" is listed that the service of advice does not know for 3 s
    And a job "ac09" of 1 steps of 4 tasks is handed in for advice
    Then the job "ac09" is shown as completed within 15 s
    And it ran only on "w0" and "w9"
