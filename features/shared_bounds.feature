Feature: Limits shared by all hosts hold while hosts are cut off
  Allowances of accounts and retry budgets of services limit the sum over all entry
  hosts in any window. The load asks for more than the limit before, during and after
  cuts.

  Scenario: An account's allowance holds over all hosts and a change of leader
    Given a routed group of 3 control hosts and 2 entry hosts
    And upstreams "m1,m2,m3,m4" are listed
    And version 7 is acknowledged
    When each entry host asks for 100 units every 20 ms for 8000 ms while the leader changes
    Then no more than 12000 units were granted in any 8000 ms

  Scenario: An account within its rate and burst is refused nothing
    Given a routed group of 3 control hosts and 2 entry hosts
    And 40 upstreams are listed
    And version 7 is acknowledged
    When 10000 ms pass in the routed group
    And each entry host asks for 10 slots of 100 units at once
    And each entry host asks for 100 units every 200 ms for 16000 ms
    Then every slot request was granted

  Scenario: An account at four tenths of its limit is refused nothing in a cut
    Given a routed group of 3 control hosts and 4 entry hosts
    And 40 upstreams are listed
    And version 7 is acknowledged
    When 10000 ms pass in the routed group
    And "e1,e2,e3,e4" can't reach the control hosts from 9000 to 17000 ms of the load
    And each entry host asks for 100 units every 640 ms for 20000 ms
    Then every slot request was granted

  Scenario: An allowance holds when a new leader is lost while entry hosts join it
    Given a routed group of 3 control hosts and 8 entry hosts
    And 40 upstreams are listed
    And version 7 is acknowledged
    When 10000 ms pass in the routed group
    And the leader freezes
    And every entry host is cut off as soon as one follows another leader
    And each entry host asks for 100 units every 20 ms for 8000 ms
    Then no more than 12000 units were granted in any 8000 ms

  Scenario: An allowance holds when all entry hosts are cut off right after their start
    Given a routed group of 3 control hosts and 8 entry hosts
    And 40 upstreams are listed
    And version 7 is acknowledged
    When all hosts lose power and start again
    And every entry host is cut off as soon as all have version 7
    And each entry host asks for 100 units every 20 ms for 8000 ms
    Then no more than 12000 units were granted in any 8000 ms

  Scenario: Random charges, waits and refunds keep an allowance within its limit
    When requests are charged, granted later and refunded in any order
    Then units granted and not refunded never exceed the limit in any window

  Scenario: A saturated account stays within its limit when all hosts are cut off
    Given a routed group of 3 control hosts and 4 entry hosts
    And 40 upstreams are listed
    And version 7 is acknowledged
    When 10000 ms pass in the routed group
    And "e1,e2,e3,e4" can't reach the control hosts from 9000 to 14000 ms of the load
    And each entry host asks for 100 units every 20 ms for 24000 ms
    Then no more than 12000 units were granted in any 8000 ms

  Scenario: An account that one host saturated stays within its limit in a cut
    Given a routed group of 3 control hosts and 4 entry hosts
    And 40 upstreams are listed
    And version 7 is acknowledged
    When 10000 ms pass in the routed group
    And "e1,e2,e3,e4" can't reach the control hosts from 9000 to 14000 ms of the load
    And "e1" alone asks for 100 units every 20 ms, and all from 9000 ms on, for 24000 ms
    Then no more than 12000 units were granted in any 8000 ms

  Scenario Outline: An allowance holds while hosts schedule for themselves
    Given a routed group of 3 control hosts and 4 entry hosts
    And 40 upstreams are listed
    And version 7 is acknowledged
    When "<hosts>" can't reach the control hosts from 2000 to 14000 ms of the load
    And each entry host asks for 100 units every 20 ms for 24000 ms
    Then no more than 12000 units were granted in any 8000 ms
    And each entry host was granted at least one slot

    Examples:
      | hosts       |
      | e1          |
      | e1,e2       |
      | e1,e2,e3,e4 |

  Scenario Outline: An allowance holds when a flood begins in the moment of a cut
    Given a routed group of 3 control hosts and 4 entry hosts
    And 40 upstreams are listed
    And version 7 is acknowledged
    When 10000 ms pass in the routed group
    And "<hosts>" can't reach the control hosts from 0 to 9000 ms of the load
    And each entry host asks for 100 units every 20 ms for 9000 ms
    Then no more than 12000 units were granted in any 8000 ms

    Examples: Of four entry hosts
      | hosts |
      | e1    |
      | e1,e2 |

  Scenario Outline: Repeated cuts keep an allowance within its limit
    Given a routed group of 3 control hosts and 4 entry hosts
    And 40 upstreams are listed
    And version 7 is acknowledged
    When "<hosts>" are cut off and reconnected every <period> ms of the load
    And each entry host asks for 100 units every 20 ms for 24000 ms
    Then no more than 12000 units were granted in any 8000 ms

    Examples:
      | hosts       | period |
      | e1,e2       | 700    |
      | e1,e2,e3,e4 | 1500   |
      | e1,e2,e3,e4 | 4000   |

  Scenario Outline: Retries are limited while hosts schedule for themselves
    Given a routed group of 3 control hosts and 4 entry hosts
    And 40 upstreams are listed
    And version 7 is acknowledged
    When "<hosts>" can't reach the control hosts from 2000 to 14000 ms of the load
    And each entry host asks for a first send and a retry every 20 ms for 24000 ms
    Then retries were at most 0.2 of the first sends and 10 in any 10000 ms

    Examples:
      | hosts       |
      | e1          |
      | e1,e2       |
      | e1,e2,e3,e4 |

  Scenario: Retries are limited over all hosts
    Given a routed group of 3 control hosts and 2 entry hosts
    And upstreams "m1,m2,m3,m4" are listed
    And version 7 is acknowledged
    When each entry host asks for a retry every 20 ms for 4000 ms
    Then no more than 10 retries were granted

  Scenario Outline: A retry that reached an upstream is not refunded
    Given a routed group of 3 control hosts and 1 entry host
    And 40 upstreams are listed
    And version 7 is acknowledged
    When "e1" asks for 40 retries one after the other that end as "<cause>"
    Then no more than 10 retries were granted

    Examples:
      | cause          |
      | rejected       |
      | other_upstream |

  Scenario: A retry that reached no upstream is refunded
    Given a routed group of 3 control hosts and 1 entry host
    And 40 upstreams are listed
    And version 7 is acknowledged
    When "e1" asks for 40 retries one after the other that end as "unreachable"
    Then 40 retries were granted
