Feature: Slot requests are placed where they start soonest
  Placement depends on cached prefixes, learned rates, health and poison suspects.

  Background:
    Given a cell with 2 engines of 4 slots

  Scenario: A prompt is placed where its prefix was sent before
    When a prompt with a long prefix was completed at an upstream
    And another upstream is idle as well
    And a prompt with the same prefix arrives
    Then both ran at the same upstream

  Scenario: A gap in the cache events lowers the trust
    When cache events 1 and 2 arrive from "e0"
    Then the trust in the cache of "e0" is 1.0
    When cache event 9 arrives from "e0"
    Then the trust in the cache of "e0" is below 1.0

  Scenario: Long prefills of a lower tier do not occupy every engine
    When 2 long prompts of tier 3 arrive
    Then 1 slot is in use
    When a short slot request of tier 1 arrives
    Then it is granted at the engine without the long prefill

  Scenario: A leaving upstream gets no new grants
    When upstream "e0" reports that it leaves
    And 4 slot requests of tier 1 arrive
    Then upstream "e0" has 0 slots in use

  Scenario: An upstream that died is probed before it gets other requests
    When the upstream of a running request dies
    Then it gets no new grants
    When 1100 ms pass in the cell
    Then it gets 1 request as a probe

  Scenario: An upstream that makes no progress becomes a suspect and gets no new requests
    When a request runs at an upstream without a token for 8000 ms
    Then it gets no new grants

  Scenario: A request that finds its upstreams unreachable gets no strike
    When both upstreams refuse the connection of a request in turn
    Then it is not refused permanently
    And a slot request right after it is granted at neither upstream

  Scenario: A request at its second strike is refused
    When a poison request kills an upstream beside an unrelated request
    And the poison request kills another upstream beside an unrelated request
    Then the poison request is refused permanently
    And no unrelated request is refused permanently
    And unrelated requests beside a known suspect have no strike

  Scenario: Two requests that are suspected of poison never share an upstream
    When a poison request kills an upstream beside an unrelated request
    And both are sent again while one upstream is left
    Then only one of them is granted

  Scenario: Requests that exceed their own time limit exclude no upstream
    Given a cell of a plain service with 2 upstreams of 1 slot
    When 8 requests one after the other end as "out_of_time"
    Then a slot request right after them is granted immediately

  Scenario: A probe that exceeds its own time limit is immediately followed by another
    When the upstream of a running request dies
    And 1100 ms pass in the cell
    And the probe there ends as "out_of_time"
    Then another request is granted there as a probe

  Scenario: A plain service is scheduled by slot counts only
    Given a cell of a plain service with 2 upstreams of 1 slot
    When 3 slot requests of tier 1 arrive
    Then 2 slots are in use

  Scenario: While all upstreams are down the retry time is that of the next probe
    When the upstreams of all running requests die
    And a short slot request of tier 1 arrives
    Then it is refused until the next probe

  Scenario Outline: An upstream that fails part of its requests is chosen after others
    Given a cell with 2 engines of 4 slots
    When half of 12 requests end as "<cause>" at the upstream that was chosen first
    And 31000 ms pass in the cell
    And host "a" requests a slot for "r1" at tier 1
    Then "r1" is granted at the other upstream

    Examples:
      | cause          |
      | upstream_error |
      | rejected       |
      | upstream_died  |

  Scenario: A broken connection does not exclude an upstream that still works
    Given a cell with 1 engines of 4 slots
    When one of two requests there loses its connection and the other continues
    And host "a" requests a slot for "r1" at tier 1
    Then "r1" is granted

  Scenario: One rejection does not keep an upstream from its share for good
    Given a cell of a plain service with 2 upstreams of 4 slot
    When one request is rejected at the upstream that was chosen first
    And requests complete at the other upstream for 30000 ms
    Then 4 requests at once are shared by both upstreams

  Scenario: One slow answer does not keep an upstream from its share for good
    Given a cell of a plain service with 2 upstreams of 4 slot
    When one request takes 1400 ms at the upstream that was chosen first
    And requests complete at the other upstream for 30000 ms
    Then 4 requests at once are shared by both upstreams

  Scenario: Prompts of the own interface with one crashing part are refused
    Given a cell with 5 engines of 4 slots
    When 4 prompts with the same first blocks, and no other like it, each crash an engine
    And a prompt with the same first blocks arrives
    Then it is refused as poison
