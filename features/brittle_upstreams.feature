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
