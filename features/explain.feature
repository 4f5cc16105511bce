Feature: A failed request is explained from logs alone
  Lines of all processes are sorted by time, and one sentence states the outcome.

  Scenario: A request refused under load
    Given a gateway whose scheduler refuses as "overloaded"
    When a caller's request "a1" was logged
    Then the explanation contains "refused with status 503" and "overloaded"

  Scenario: A stream that is cut off because its upstream died
    Given a gateway before upstream "u1" that will "cut_events"
    When a caller's stream "a1" was logged
    Then the explanation contains "broken_off" and "upstream_died"
    And the explanation names the upstream "u1"

  Scenario: A transfer whose answer was lost
    Given a gateway before upstream "u1" that will "reset"
    When a caller's request "a1" was logged
    Then the explanation contains "refused with status 502" and "upstream_died"
    And the explanation contains "may_have_run" and "u1"

  Scenario: A request that no process has received
    Given a gateway before upstream "u1" that will "answer"
    When a caller's request "a1" was logged
    Then the explanation of "b2" contains "No log names this request"

  Scenario: A request whose host died has no end in the logs
    Given a gateway before upstream "u1" that will "answer"
    When a caller's request "a1" was logged
    Then the explanation without its last line contains "has no end in these logs"

  Scenario: Lines of many requests are rate limited, but not those of a failed one
    Given a log output limited to 5 lines of one event
    When 50 requests succeed and one fails
    Then the log contains at most 20 lines of the requests that succeeded
    And the log contains all lines of the request that failed
    And the log reports that lines were suppressed

  Scenario: An output without a reader does not block
    Given a pipe without a reader
    When 20000 lines are written to it
    Then that took less than 2000 ms
    And the dropped lines were counted
