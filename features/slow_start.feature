Feature: An upstream that has just started or recovered gets what it can take
  Service schedulers run in virtual time before 12 upstreams under load. An upstream is
  cold for 4 s after its start: everything takes 5 times as long. Runs with the option
  off and on get the same requests, and those of the 5 s after a start are judged.

  Scenario: A cold upstream among warm ones makes few answers late
    Given upstreams of unequal speed, of which 1 of 12 starts cold at a load of 0.8
    Then at most 2 in 1000 requests miss their goal, unlike without the option

  Scenario: Cold plain upstreams that start together make fewer answers late
    Given plain upstreams, of which 6 of 12 start cold at a load of 0.5
    Then less than half as many answers are late as without the option
    And no fewer requests meet their goal than without the option

  Scenario: Upstreams that start together and are fast share the load
    Given plain upstreams, of which 6 of 12 start warm at a load of 1.0
    Then at most 4 in 1000 requests miss their goal
    And no fewer requests are answered by the starting ones than a third of all

  Scenario: An upstream that is fast from its start is not idle while others are full
    Given 11 upstreams at a load of 1.1
    When another upstream starts warm
    Then it uses all of its slots within 1000 ms

  Scenario: The pace of an idle upstream grows with time
    Given 11 upstreams at a load of 0.0
    When another upstream starts warm
    Then its slow start ends within 9000 ms

  Scenario: False reports change no pace
    Given 11 upstreams at a load of 0.0
    When reports say that the upstream "u0" is dead
    And the load is 0.8 for 4000 ms
    Then no slow start has begun
    When another upstream starts cold
    And reports say that the upstream "u11" is alive and idle
    Then its pace is 1 slot

  Scenario: An upstream that restarts under its name under load starts over
    Given 12 upstreams at a load of 0.95
    When the upstream "u1" restarts
    Then its slow start begins within 4000 ms and ends within 9000 ms
    And no more requests miss their goal than without the option

  Scenario: A broken list does not make upstreams start over
    Given 12 upstreams at a load of 0.8
    When the upstream "u1" is missing in the list for 50 ms
    Then no slow start has begun

  Scenario: A new leader takes no upstream that it finds as just started
    Given 12 upstreams at a load of 0.8
    When a new leader takes over
    Then no slow start has begun
    When another upstream starts cold
    Then its pace is 1 slot

  Scenario: A new leader that learns late of an upstream knows it by its slots
    Given 12 upstreams at a load of 0.8
    When a new leader takes over whose list lacks "u1" for 300 ms
    Then the upstream "u1" may use all of its slots

  Scenario: A new leader finds out that an upstream is cold by its late answers
    Given 11 plain upstreams at a load of 0.8
    When another upstream starts cold
    And a new leader takes over
    Then its slow start begins within 1500 ms

  Scenario: An operator sees the pace and when it ends
    Given 11 upstreams at a load of 0.8
    When another upstream starts cold
    Then its pace is 1 slot
    And its slow start ends within 15000 ms
