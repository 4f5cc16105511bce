Feature: Slot requests are granted by tier and refused only when necessary
  The scheduler of a cell grants slots at its upstreams.

  Background:
    Given a cell with 2 engines of 2 slots

  Scenario: A slot request is granted immediately when a slot is free
    When host "a" requests a slot for "r1" at tier 1
    Then "r1" is granted

  Scenario: A new scheduler grants nothing while it settles
    Given a scheduler that has not settled
    When host "a" requests a slot for "r1" at tier 1
    Then "r1" has no answer
    When 300 ms pass in the cell
    Then "r1" is granted

  Scenario: A repeated slot request gets the same grant again
    When host "a" requests a slot for "r1" at tier 1
    And host "a" requests a slot for "r1" at tier 1
    Then "r1" is granted 2 times at one upstream
    And 1 slot is in use

  Scenario: A slot request of another host for a held request is refused
    When host "a" requests a slot for "r1" at tier 1
    And host "b" requests a slot for "r1" at tier 1
    Then "r1" is refused to host "b" as "in_progress"

  Scenario: A higher tier is granted first when a slot is released
    Given all slots are held at tier 2
    When host "a" requests a slot for "low" at tier 3
    And host "a" requests a slot for "high" at tier 1
    And a slot is released
    Then "high" is granted
    And "low" has no answer

  Scenario: A slot whose holder is silent lapses
    When host "a" requests a slot for "r1" at tier 1
    And 3200 ms pass in the cell
    Then 0 slots are in use

  Scenario: A held slot renews its lease
    When host "a" requests a slot for "r1" at tier 1
    And host "a" holds "r1" for 5000 ms
    Then 1 slot is in use

  Scenario: A held slot is adopted by a new scheduler
    Given a scheduler that has not settled
    When host "a" reports that it holds "r1" at "e0"
    Then 1 slot is in use
    And upstream "e0" has 1 slot in use

  Scenario: Slot requests of a lost host are dropped and its slots stay for their lease
    Given all slots are held at tier 2
    When host "b" requests a slot for "r1" at tier 1
    And host "b" is lost
    And host "h" is lost
    Then 4 slots are in use
    When 3200 ms pass in the cell
    Then 0 slots are in use
    And "r1" has no answer

  Scenario: Queued lower work is evicted before a higher slot request is refused
    Given all slots are held at tier 1
    When 20 slot requests of tier 3 arrive
    And 200 slot requests of tier 1 arrive
    Then some slot requests of tier 1 are refused
    And no slot request of tier 3 is queued
    And there was no inversion

  Scenario: A lower running request is preempted only for an urgent higher one
    Given urgent slot requests may use 1.5 times the slots
    And all slots are held at tier 3
    When 3 slot requests of tier 1 arrive
    And 200 ms pass in the cell
    Then no request is preempted
    And 4 slots are in use
    When the holders keep their slots for 1200 ms
    Then 6 slots are in use
    And 1 request is preempted

  Scenario: A refusal for overload carries a retry time
    Given all slots are held at tier 1
    When 200 slot requests of tier 1 arrive
    Then every refusal for overload carries a retry time

  Scenario: A slot request for a model that no upstream serves is refused
    When host "a" requests a slot for "r1" of model "other"
    Then "r1" is refused to host "a" as "no_upstream"

  Scenario: Accounts share the slots of a tier by tokens
    Given all slots are held at tier 1
    When 10 slot requests of account "large" arrive
    And 1 slot request of account "small" arrives
    And 2 slots are released
    Then account "small" was granted 1 slot

  Scenario: Random event sequences keep the scheduler's invariants
    When the scheduler runs through random event sequences
    Then every answer matches the oracle

  Scenario: A slot request that is sent again does not hide an earlier deadline
    When two slot requests are queued
    And the first is cancelled and sent again with a later deadline
    Then the other slot request is the most urgent and is granted first

  Scenario: A new configuration adds and removes upstreams
    Given all slots are held at tier 1
    When a configuration with 3 engines without "e0" becomes active
    And 4 slot requests of tier 2 arrive
    Then upstream "e2" has 2 slots in use
    And upstream "e0" has 2 slots in use
    When 4 slots are released
    Then upstream "e0" is removed

  Scenario: Strikes of the control group refuse a queued request
    Given all slots are held at tier 1
    When host "a" requests a slot for "r1" at tier 1
    And the control group counts 2 strikes against "r1"
    Then "r1" is refused to host "a" as "poison"

  Scenario: A large account is not served twice before a small one is served once
    When 10 slot requests of account "large" and 2 of account "small" are queued
    Then both of account "small" are among the first 4 granted
