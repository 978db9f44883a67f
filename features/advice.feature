Feature: A cell runs the steps of advised queues where the advice allows
  Which workers the advice service is asked about, what its answers allow, and when they
  are forgotten.

  Scenario: Steps of an advised queue go only where they are allowed
    Given a cell of 3 instances and 6 workers
    And advice allows only the workers "w0" and "w1"
    When a job "ab02" of 1 steps of 6 tasks is handed in to the queue with advice
    Then the job "ab02" is shown as completed within 15 s
    And it ran only on "w0" and "w1"

  Scenario: A step whose workers are named late in the list starts
    # Guards against a job that waits forever in an empty cell. The advice service
    # allows the step only on two of 40 workers. If the question names the same first 24
    # with room each time, nobody ever asks about the others.
    Given a cell of 3 instances and 40 workers
    And advice allows only the workers "w38" and "w39"
    When a job "ac04" of 1 steps of 6 tasks is handed in to the queue with advice
    Then the job "ac04" is shown as completed within 10 s
    And it ran only on "w38" and "w39"
    And no worker that may not run the step was asked about again

  Scenario: A gang gets advice on as many workers as it needs
    # Guards against a gang that waits forever in an empty cell. The first of the two
    # workers that may run it has room for some members only. One ticket with room must
    # not be taken to be enough, as nobody then asks about the second worker, and a
    # later answer must not replace what the first one allowed.
    Given a cell of 3 instances and 40 workers
    And advice allows only the workers "w0" and "w39"
    When a gang job "ac05" of 6 tasks of 4 cores is handed in to the queue with advice
    Then the job "ac05" is shown as completed within 10 s
    And it ran only on "w0" and "w39"

  Scenario: Advice is forgotten with the step that it is about
    # Guards against a memory leak in a holder that runs for days until its machine ends
    # it. The questions and answers about a step must not be kept after the step is done
    # or the job forgotten.
    Given a cell of 3 instances and 6 workers
    And advice allows only the workers "w0" and "w1"
    When a job "ac06" of 2 steps of 6 tasks is handed in to the queue with advice
    And a job "ac07" of 1 steps of 300 tasks is handed in to the queue with advice
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

  Scenario: A worker that the advice service did not know yet is asked about again
    # Guards against a step that never starts although an allowed worker is free.
    Given a cell of 3 instances and 6 workers
    And advice allows only the workers "w0" and "w9"
    And "w0" drains
    When a worker "w9" is listed that the advice service does not know for 3 s
    And a job "ac09" of 1 steps of 4 tasks is handed in to the queue with advice
    Then the job "ac09" is shown as completed within 15 s
    And it ran only on "w0" and "w9"
