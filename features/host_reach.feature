Feature: What a host without links reports takes no upstream from the others
  A failed connection doesn't tell whether the upstream or the host's link is at fault.

  Scenario Outline: Hosts that lost their links don't keep others from being served
    Given 6 entry hosts in virtual time before 4 upstreams
    When the links of "<lost>" to all upstreams are lost, so that requests end as <cause>
    And 4000 ms of requests pass at all hosts
    Then 97 in 100 requests at "<others>" were served
    And no upstream was out of service for more than <out> ms
    And the leader takes "<lost>" as cut off from upstreams
    When 2000 ms of requests pass at all hosts
    Then 97 in 100 requests at "<lost>" were served

    Examples: Ways in which links fail as "lost host"
      | lost  | others      | cause            | out |
      | e1    | e2,e3,e4    | unreachable      | 0   |
      | e1,e2 | e3,e4,e5,e6 | unreachable      | 300 |
      | e1,e2 | e3,e4,e5,e6 | upstream_died    | 300 |
      | e1,e2 | e3,e4,e5,e6 | upstream_timeout | 600 |

    Examples: All hosts of one data centre of three, and of two of them
      | lost        | others      | cause       | out |
      | e1,e4       | e2,e3,e5,e6 | unreachable | 300 |
      | e1,e2,e4,e5 | e3,e6       | unreachable | 600 |

  Scenario: Hosts that lost different upstreams take none of them from the others
    Given 6 entry hosts in virtual time before 4 upstreams
    When the links of "e1" to "m1,m2" are lost
    And the links of "e2" to "m3,m4" are lost
    And 4000 ms of requests pass at all hosts
    Then 97 in 100 requests at "e1,e2,e3,e4,e5,e6" were served
    And the leader takes no host as cut off from upstreams

  Scenario Outline: In an overload, callers of hosts without links get their part
    Given 6 entry hosts in virtual time before 4 upstreams
    And 4000 ms of an overload, with one request each 10 ms at each host
    When the links of "e1,e2" to all upstreams are lost, so that requests end as <cause>
    And 3000 ms of requests pass, one each 10 ms at each host
    And 4000 ms of requests pass, one each 10 ms at each host
    Then requests at "e1,e2" are served two thirds as often as at "e3,e4,e5,e6"
    And 9 in 10 times as many requests are served as in the overload before

    Examples: Ways in which links fail
      | cause         |
      | unreachable   |
      | upstream_died |

  Scenario: The only host with links serves the callers of all others
    Given 6 entry hosts in virtual time before 4 upstreams
    When the links of "e1,e2,e3,e4,e5" to all upstreams are lost, so that requests end as unreachable
    And 3000 ms of requests pass at all hosts
    And 2000 ms of requests pass at all hosts
    Then 97 in 100 requests at "e1,e2,e3,e4,e5,e6" were served

  Scenario: A host that gets all requests is served through an idle one
    Given 6 entry hosts in virtual time before 4 upstreams
    And only "e1" get requests
    When the links of "e1" to all upstreams are lost, so that requests end as unreachable
    And 3000 ms of requests pass at all hosts
    And 2000 ms of requests pass at all hosts
    Then 97 in 100 requests at "e1" were served

  Scenario: Upstreams that no host reaches are out of service after two reports
    Given 6 entry hosts in virtual time before 4 upstreams
    When the upstreams "m1,m2" accept no connections
    And 4000 ms of requests pass at all hosts
    Then 97 in 100 requests at "e1,e2,e3,e4,e5,e6" were served
    And the leader takes no host as cut off from upstreams

  Scenario: When all upstreams end, no host is taken as cut off
    Given 6 entry hosts in virtual time before 4 upstreams
    When the upstreams "m1,m2,m3,m4" accept no connections
    And 3000 ms of requests pass at all hosts
    Then the leader takes no host as cut off from upstreams
    When all links and upstreams work again
    And 5000 ms of requests pass at all hosts
    And 1000 ms of requests pass at all hosts
    Then 97 in 100 requests at "e1,e2,e3,e4,e5,e6" were served

  Scenario: A sound upstream that is silent for a second costs no request and no host
    Given 6 entry hosts in virtual time before 4 upstreams
    When "m1" is silent for 1000 ms
    And 2000 ms of requests pass at all hosts
    Then 97 in 100 requests at "e1,e2,e3,e4,e5,e6" were served
    And the leader takes no host as cut off from upstreams

  Scenario: A host whose links are back is served as before
    Given 6 entry hosts in virtual time before 4 upstreams
    When the links of "e1,e2" to all upstreams are lost, so that requests end as unreachable
    And 3000 ms of requests pass at all hosts
    And all links and upstreams work again
    And 1000 ms of requests pass at all hosts
    And 1000 ms of requests pass at all hosts
    Then 97 in 100 requests at "e1,e2,e3,e4,e5,e6" were served
    And the leader takes no host as cut off from upstreams

  Scenario: Any sequence of reports leaves the evidence usable
    When hosts join, leave and report in any order
    Then no report fails, and a relay always has the link that it is chosen for

  Scenario: A host whose requests crash upstreams is not taken as one without links
    Given hosts "e1" and "e2" that reach all upstreams
    When connections of "e1" to "m1,m2,m3" break, while "e2" is answered by "m4"
    Then each break may be the fault of its upstream
    And no host is taken as cut off

  Scenario: A host whose connections break at upstreams that answer others has lost its links
    Given hosts "e1" and "e2" that reach all upstreams
    When connections of "e1" to "m1,m2,m3" break, while "e2" is answered by "m1,m2,m3"
    Then "e1" is taken as cut off
