Feature: What a worker has not reported yet is not known
  A worker reports what it runs, and the ends of its runs until they are acknowledged:
  500 of them in one report, the oldest first.

  Scenario Outline: The log names the run that ended, and says that it was released: <runs>
    # Guards against a second run of a task that nobody can find: the line about the end
    # named the newest run, whichever run had ended.
    Given a holder that has released a run of a task, and started it <starts>
    When the worker lists that the released run is done
    Then the log names run 1 as done, released, beside run <newest> as the newest

    Examples:
      | runs        | starts | newest |
      | waits again | once   | 1      |
      | runs again  | twice  | 2      |
