Feature: A version that is just listed is held back until its order arrives
  Coordinators and entry hosts run in virtual time. The platform lists the upstreams of
  version "v2" beside those of "v1".

  Background:
    Given coordinators and entry hosts with rollouts and an upstream of "v1"

  Scenario: A waiting request is not granted at a version that is just listed
    Guards against a scheduler that sees the list before the hold.
    Given all slots are in use and a request of "e1" waits
    When upstreams of "v2" are listed, and 1000 ms pass
    Then no request was granted at "v2"

  Scenario: A host without a leader holds back a version that is first listed then
    Guards against an order that this host can't know of.
    Given "e1" has lost its leader
    When upstreams of "v2" are listed, and 8000 ms pass
    And "e1" requests 3 slots at once, and 1000 ms pass
    Then only slots at "v1" were granted

  Scenario: A host holds back a version that was listed just before its leader was lost
    Guards against an order that was acknowledged before its stage was announced.
    When upstreams of "v2" are listed, and 1000 ms pass
    And a rollout to "v2" is acknowledged, and all control hosts are killed at once
    And "e1" requests 3 slots at once, and 1000 ms pass
    Then only slots at "v1" were granted

  Scenario: A host without a leader uses all versions that were listed long before
    Guards against holds that withhold slots without need.
    When upstreams of "v2" are listed, and 8000 ms pass
    And "e1" loses its leader
    And "e1" requests 3 slots at once, and 1000 ms pass
    Then slots at "v1" and "v2" were granted

  Scenario: A new leader holds back a version that was listed just before
    Guards against a leader that takes all versions of its first list for old ones.
    Given all slots are in use and a request of "e1" waits
    When upstreams of "v2" are listed, and 200 ms pass
    And the leader is killed, and 3000 ms pass
    Then another host leads
    And no request was granted at "v2"

  Scenario Outline: A version is not held back once its rollout is <end>: <who>
    Guards against a hold that takes the place of the end when both are in the same 5 s.
    When upstreams of "v2" are listed, and 500 ms pass
    And a rollout to "v2" is ordered and soon <end>
    And "e1" <event>
    And "e1" requests 3 slots at once, and 1000 ms pass
    Then only slots at "<version>" were granted
    And a stream that began at "v2" <goes on> at "e1"

    Examples:
      | end      | who                   | event            | version | goes on         |
      | complete | under a leader        | keeps its leader | v2      | goes on         |
      | complete | a host without leader | loses its leader | v2      | goes on         |
      | reverted | under a leader        | keeps its leader | v1      | doesn't go on   |
      | reverted | a host without leader | loses its leader | v1      | doesn't go on   |
