Feature: Upstreams that fall over if they reject much get few requests to reject
  They name how many rejections in a second they bear, from all hosts together, and may
  have less room than the list says.

  Scenario Outline: Brittle upstreams with little room don't fall over
    Given 6 entry hosts in virtual time before 4 brittle upstreams
    When all upstreams say that they fall over at <allowed> rejections in a second
    And 3000 ms of requests pass, one each <gap> ms at each host
    And each upstream has room for <room> requests
    And 10000 ms of requests pass, one each <gap> ms at each host
    Then the upstreams fell over at most 2 times
    And half of the room was used

    Examples: Numbers, room and load as "brittle upstream"
      | allowed | room | gap |
      | 6       | 2    | 100 |
      | 6       | 2    | 40  |
      | 3       | 3    | 60  |
      | 12      | 1    | 60  |

  Scenario: Hosts without a leader share the rejections that brittle upstreams bear
    Given 6 entry hosts in virtual time before 4 brittle upstreams
    When all upstreams say that they fall over at 6 rejections in a second
    And 3000 ms of requests pass, one each 60 ms at each host
    And the control hosts are out of reach of all entry hosts
    And each upstream has room for 2 requests
    And 10000 ms of requests pass, one each 60 ms at each host
    Then the upstreams fell over at most 2 times
    And half of the room was used

  Scenario: A new leader keeps brittle upstreams from falling over
    Given 6 entry hosts in virtual time before 4 brittle upstreams
    When all upstreams say that they fall over at 6 rejections in a second
    And 3000 ms of requests pass, one each 60 ms at each host
    And each upstream has room for 2 requests
    And 5000 ms of requests pass, one each 60 ms at each host
    And the leader is lost
    And 5000 ms of requests pass, one each 60 ms at each host
    Then the upstreams fell over at most 2 times
    And half of the room was used

  Scenario Outline: The number that an upstream names is told to the scheduler: <text>
    Given a gateway before upstream "u1" that will "answer"
    And its answers say that it falls over at "<text>" rejections
    When a caller sends "/transfer/x" with the body "pay 5"
    Then the caller gets 200 with the body "whole answer of u1"
    And the released slot tells <number> rejections a second

    Examples: Texts
      | text | number |
      | 6    | 6      |
      | 2.5  | 2.5    |
      | 0    | 0      |
      | many | -1     |
