Feature: Failures of the real programs are explained from their logs alone
  Control and entry hosts run as processes; their upstreams fail.

  Scenario: Three kinds of failed requests are explained by their ids
    Given the real programs run with simulated upstreams
    When a transfer's answer is lost, a stream is cut off, and streams find engines full
    Then the logs explain the transfer with "status 502" and "may_have_run"
    And the logs explain the stream with "broken_off" and "upstream_died"
    And the logs explain a refused stream with "status 503" and "not_run"

  Scenario: A program that is stopped writes log lines only
    Given the real programs run with simulated upstreams
    When they have served a request and are stopped by SIGTERM
    Then every program wrote log lines only, and process_stopped as the last
