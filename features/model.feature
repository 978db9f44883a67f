Feature: The specifications of the core protocol
  An explicit-state model checker explores every interleaving of a small specification.
  The steps call its invariants promises. With all guards every invariant holds; without
  any single one the checker finds a counterexample, so every guard is necessary.

  Scenario Outline: All guards of <specification> together are enough
    When the checker explores "<specification>" with every guard
    Then every promise holds in more than <states> states

    Examples:
      | specification | states |
      | takeover      | 1000   |
      | slots         | 100    |
      | cell          | 700    |
      | crashes       | 100    |
      | restarts      | 50     |

  Scenario Outline: <specification> needs <guard>
    When the checker explores "<specification>" without "<guard>"
    Then it finds a broken promise

    Examples:
      | specification | guard                     |
      | takeover      | order_deadline            |
      | takeover      | successor_waits           |
      | takeover      | successor_waits_lease     |
      | takeover      | stale_epoch_refused       |
      | takeover      | lapsed_lease_refused      |
      | takeover      | inventory_before_start    |
      | takeover      | inventory_after_wait      |
      | takeover      | renewal_needs_authority   |
      | takeover      | acknowledge_when_durable  |
      | takeover      | log_read_before_start     |
      | takeover      | authority_needs_clear_log |
      | takeover      | no_promise_once_succeeded |
      | takeover      | promises_only_prolong     |
      | slots         | stale_epoch_refused       |
      | slots         | doubt_counts_as_used      |
      | slots         | borrower_checks_deadline  |
      | slots         | loan_settled_by_report    |
      | cell          | record_before_start       |
      | cell          | holder_lapses             |
      | cell          | low_token_refused         |
      | cell          | late_start_refused        |
      | cell          | leases_waited_out         |
      | cell          | fence_before_read         |
      | cell          | end_recorded_before_acknowledged |
      | cell          | left_out_ends_waited_for  |
      | crashes       | stored_with_next_start    |
      | crashes       | successor_counts_vanished |
      | crashes       | counted_by_run            |
      | crashes       | gives_up                  |
      | restarts      | births_compared           |
      | restarts      | acknowledged_over_same_connection |
      | restarts      | unsettled_start_stopped_first |
      | restarts      | unreported_run_carried_over |
      | restarts      | late_renewals_waited_out |
