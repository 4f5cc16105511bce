@fixture.large_deployment
Feature: Faults between real processes
  Three control hosts and four entry hosts in four data centres, three engines and
  two payout services run as processes. The links between hosts pass through relays
  that can fall silent without a reset. Callers send transfers and completions all
  the time and repeat what was lost; the upstreams' own records are the oracle.

  Scenario Outline: <fault> harms no request
    Given callers send transfers and completions
    When among the processes <fault>
    And the callers have ended 40 more requests
    And all is healed and the callers come to an end
    Then no request ran twice and every answer is whole and true
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
    Then completions without a key go on at entry-4
    And a transfer at entry-4 is refused as not run within 3000 ms
    And the other hosts complete transfers
    When all links pass again
    Then a transfer at entry-4 completes within 10000 ms

  Scenario: Every host is restarted in turn and no caller is harmed
    Given callers send transfers and completions
    When every entry host and every control host is restarted in turn
    And all is healed and the callers come to an end
    Then no request ran twice and every answer is whole and true
    And at least 100 in 100 requests completed

  Scenario: A graceful stop waits for the stream in progress
    Given a stream of 2000 tokens is in progress at entry-1
    When entry-1 is told to stop
    Then the stream ends whole and entry-1 exits with 0

  Scenario: A change whose answer was lost is sent again and takes effect once
    When an operator sends a change twice with one change id
    Then both answers name the same version

  Scenario: Two operators race with equal versions and one of them wins
    When two operators propose on the same version at the same time
    Then one is accepted and the other is told who won

  Scenario: An upstream that is taken out gets no new work
    Given callers send transfers and completions
    And engine-2 has run 5 requests
    When an operator takes engine-2 out
    Then engine-2 gets no request later than 2000 ms after it

  Scenario: A stream whose engine dies is cut, and says that it may have run
    Given a stream of 2000 tokens is in progress at entry-1
    When all engines are killed
    Then the stream breaks off without its end and its last event says may_have_run

  Scenario: A stream that breaks off is not sent to another engine
    Given a stream of 2000 tokens is in progress at entry-1
    When the engine that runs it dies
    Then the stream breaks off without its end and its last event says may_have_run
    And the engines have seen the streamed prompt in 1 dispatch

  Scenario: A request that crashes each engine takes down two of three at most
    Given engines that crash on a marked body
    When a caller sends the marked body 5 times to entry-1
    Then at most 2 engines have died and the last answer is a final refusal
    And an unmarked request is answered by the engine that is left
