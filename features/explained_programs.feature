Feature: Failures of the real programs are explained from their logs alone
  Control and entry hosts run as processes before upstreams that fail.

  Scenario: Three kinds of failed request lead from their ids to their causes
    Given the real programs run before upstreams of our own
    When a transfer's answer is lost, a stream is broken off, and streams meet full engines
    Then the logs say of the transfer "status 502" and "may_have_run"
    And the logs say of the stream "broken_off" and "upstream_died"
    And the logs say of a refused stream "status 503" and "not_run"

  Scenario: A program that is stopped writes log lines only
    Given the real programs run before upstreams of our own
    When they have served a request and are stopped by SIGTERM
    Then every program wrote log lines only, the last one that it stopped
