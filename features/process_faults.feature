@fixture.large_deployment
Feature: Faults between real processes
  Three control hosts and four entry hosts in four data centres, three engines and
  two payout services run as processes. The links between hosts pass through relays
  that can drop all data without closing connections. Callers constantly send
  transfers and completions and repeat lost ones; the results are checked against
  the upstreams' own records.

  Scenario Outline: No request is harmed when <fault>
    Given callers send transfers and completions
    When within the deployment <fault>
    And 40 more requests of the callers have ended
    And all faults are repaired and the callers finish
    Then no request ran twice and every answer is complete and correct
    And at least <share> in 100 requests completed

    Examples:
      | fault                                       | share |
      | an entry host is killed                     | 90    |
      | the control leader is killed                | 100   |
      | a control follower is killed                | 100   |
      | the control leader is silently isolated     | 100   |
      | the control leader is frozen                | 100   |
      | an entry host is frozen                     | 90    |
      | a payout service is killed                  | 90    |
      | an engine is killed                         | 80    |
      | an entry host is stopped gracefully         | 100   |

  Scenario: A data centre that is cut off serves completions and refuses transfers
    When data centre dc4 is silently cut off
    Then completions without a key still succeed at entry-4
    And a transfer at entry-4 is refused as not run within 3000 ms
    And the other hosts complete transfers
    When all links are restored
    Then a transfer at entry-4 completes within 10000 ms

  Scenario: No request is harmed when every host is restarted in turn
    Given callers send transfers and completions
    When every entry host and every control host is restarted in turn
    And all faults are repaired and the callers finish
    Then no request ran twice and every answer is complete and correct
    And at least 100 in 100 requests completed

  Scenario: A graceful stop waits for the stream in progress
    Given a stream of 2000 tokens is in progress at entry-1
    When entry-1 gets SIGTERM
    Then the stream is complete and entry-1 exits with 0

  Scenario: A change whose answer was lost is sent again and takes effect once
    When an operator sends a change twice with one change id
    Then both answers name the same version

  Scenario: One of two concurrent changes with equal base versions is accepted
    When two operators propose changes to the same version at the same time
    Then one is accepted and the other is refused with the winner's author

  Scenario: An upstream that an operator marks as leaving gets no new requests
    Given callers send transfers and completions
    And engine-2 has run 5 requests
    When an operator marks engine-2 as leaving
    Then engine-2 gets no request later than 2000 ms after that

  Scenario: A stream whose engine dies is cut off with the verdict may_have_run
    Given a stream of 2000 tokens is in progress at entry-1
    When all engines are killed
    Then the stream is cut off before its end and its last event has the verdict may_have_run

  Scenario: A stream that is cut off is not sent to another engine
    Given a stream of 2000 tokens is in progress at entry-1
    When the engine that runs the stream dies
    Then the stream is cut off before its end and its last event has the verdict may_have_run
    And the engines have seen the streamed prompt in 1 dispatch

  Scenario: A request that crashes each engine takes down two of three at most
    Given engines that crash on a marked body
    When a caller sends the marked body 5 times to entry-1
    Then at most 2 engines have died and the last answer is a permanent refusal
    And an unmarked request is answered by the remaining engine
