Feature: Planned stops cost no request that was read its answer
  Hosts get SIGTERM, more than once, while slots are waited for and beside SIGHUP and
  changes of the configuration. Callers send on kept connections, some in parts.

  Scenario Outline: Requests that a host has read are answered while <hosts> stop in turn
    Given programs whose callers keep their connections
    When <hosts> are stopped in turn for <duration> s
    Then no request that was read is left without an answer
    And every stopped host ended by itself
    And no request that was refused as not run has run, and none ran twice

    Examples: Stops as "stop in turn"
      | hosts    | duration |
      | entries  | 4        |
      | controls | 4        |
      | relays   | 1        |

  Scenario: Requests that outlast the time to stop are answered before their host ends
    Given programs whose upstreams hang, with 5 s to stop
    When 24 requests are sent while their host stops
    Then each gets 503 if no upstream has it, or 502
    And the host ended by itself
