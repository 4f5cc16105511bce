Feature: A failed request is explained from logs alone
  Lines of all processes are put in order, and one sentence says what happened.

  Scenario: A request refused under load
    Given a gateway whose scheduler refuses as "overloaded"
    When a caller's request "a1" was logged
    Then the explanation says "refused with status 503" and "overloaded"

  Scenario: A stream broken off by an upstream that died
    Given a gateway before upstream "u1" that will "cut_events"
    When a caller's stream "a1" was logged
    Then the explanation says "broken_off" and "upstream_died"
    And the explanation names the upstream "u1"

  Scenario: A transfer whose answer was lost
    Given a gateway before upstream "u1" that will "reset"
    When a caller's request "a1" was logged
    Then the explanation says "refused with status 502" and "upstream_died"
    And the explanation says "may_have_run" and "u1"

  Scenario: A request that no process has read
    Given a gateway before upstream "u1" that will "answer"
    When a caller's request "a1" was logged
    Then the explanation of "b2" says "No log names this request"

  Scenario: A request whose host died has no end
    Given a gateway before upstream "u1" that will "answer"
    When a caller's request "a1" was logged
    Then the explanation without its last line says "has no end in these logs"

  Scenario: Lines of many requests are bounded, those of a failed one are kept
    Given a log output that takes 5 lines of one event
    When 50 requests succeed and one fails
    Then the log holds at most 20 lines of the requests that succeeded
    And the log holds all lines of the request that failed
    And the log tells how many lines were left out

  Scenario: An output that nobody reads blocks nothing
    Given a pipe that nobody reads
    When 20000 lines are written to it
    Then that took less than 2000 ms
    And the lines that did not fit were counted
