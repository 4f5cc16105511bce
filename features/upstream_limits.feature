Feature: An upstream gets no more requests than the limit that it names
  The limit is a number of requests a second from all hosts together. Other upstreams
  take the load, and the limit is used.

  Scenario Outline: Programs of 6 entry hosts keep to the limits that upstreams name
    Given programs of 3 control hosts and 6 entry hosts before 4 upstreams that name limits
    And requests "<path>" to the service "<service>"
    When the limits "<limits>" are named within 14 s
    Then no upstream got more than one and a half times its limit and 5 requests in 4 s
    And 9 in 10 requests were answered
    And each limited upstream got at least half of what it had allowed

    Examples: Limits as "second upstream limit"
      | path         | service | limits               |
      | /resumable/x | models  | 1 1 1                |
      | /look-up/x   | ledger  | 1 1 2.3, 1 2 0.5     |
      | /transfer/x  | ledger  | 1 1 3, 7 1 0.75      |

  Scenario Outline: A limit that is named in rejections is kept and used
    Given programs of 3 control hosts and 6 entry hosts before 4 upstreams that name limits
    And upstreams reject what is over their limits
    And requests "<path>" to the service "<service>"
    When the limits "<limits>" are named within 14 s
    Then no upstream got more than one and a half times its limit and 5 requests in 4 s
    And 9 in 10 requests were answered
    And each limited upstream got at least half of what it had allowed

    Examples: Upstreams of a plain service and of a model
      | path         | service | limits         |
      | /look-up/x   | ledger  | 1 1 1          |
      | /look-up/x   | ledger  | 1 1 1.5        |
      | /transfer/x  | ledger  | 1 1 1.5, 1 2 3 |
      | /resumable/x | models  | 1 1 1.5        |

  Scenario Outline: An upstream that rejects what is over its limit gets half of it
    It takes whole requests only: a limit of 1.5 lets it take one in any second.

    Given 3 control hosts and 6 entry hosts in virtual time before 4 upstreams
    And they reject what is over their limits in any second
    When "m1" names the limit <first> and "m2" the limit <second>
    And 20000 ms of requests pass
    Then no upstream got more than its limit allows in any 4000 ms
    And "m1" accepted at least <least> requests a second in the last 12000 ms
    And "m2" accepted at least <other> requests a second in the last 12000 ms

    Examples: Limits that are whole numbers and others
      | first | second | least | other |
      | 1.5   | 4      | 0.5   | 2     |
      | 1     | 12.5   | 0.5   | 6     |

  Scenario: A limit that is named in rejections only is used
    Given 3 control hosts and 6 entry hosts in virtual time before 4 upstreams
    And they reject what is over their limits in any second
    And they name limits in rejections only
    When "m1" names the limit 1.5 and "m2" the limit 4
    And 20000 ms of requests pass
    Then "m1" accepted at least 0.5 requests a second in the last 12000 ms
    And "m2" accepted at least 2 requests a second in the last 12000 ms

  Scenario: An upstream that rejects all requests within its limit gets few
    Given 3 control hosts and 6 entry hosts in virtual time before 4 upstreams
    And they reject all requests once they name a limit
    When "m1" names the limit 12.5 and "m2" the limit 4
    And 20000 ms of requests pass
    Then "m1" got at most 1 requests a second in the last 12000 ms

  Scenario: An upstream that takes its limit back gets all requests again
    Given programs of 3 control hosts and 6 entry hosts before 1 upstreams that name limits
    And requests "/look-up/x" to the service "ledger"
    When the limits "1 1 1, 5 1 " are named within 14 s
    Then upstream 1 got at least 50 requests in the last 4 s

  Scenario Outline: The limits of upstreams hold over all hosts and are used
    Given 3 control hosts and 6 entry hosts in virtual time before 4 upstreams
    When "m1" names the limit <first> and "m2" the limit <second>
    And 20000 ms of requests pass
    Then no upstream got more than its limit allows in any 4000 ms
    And "m1" got at least <least> requests a second in the last 12000 ms
    And "m4" got at least 10 requests a second in the last 12000 ms

    Examples: Limits of 1 a second and less, and decimals
      | first | second | least |
      | 1     | 1      | 0.7   |
      | 0.5   | 2.3    | 0.3   |
      | 0.25  | 0      | 0.1   |
      | 12.5  | 7      | 8     |

  Scenario Outline: The limit of an upstream holds while hosts are disturbed
    Given 3 control hosts and 6 entry hosts in virtual time before 3 upstreams
    When "m1" names the limit <limit> and "m2" the limit <limit>
    And 6000 ms of requests pass
    And <disturbance> while requests come
    And 12000 ms of requests pass
    Then no upstream got more than its limit allows in any 4000 ms
    And "m1" got at least <least> requests a second in the last 8000 ms

    Examples: New hosts, hosts without a leader, and changes of leader
      | limit | least | disturbance                                      |
      | 1     | 0.7   | the leader is killed for 3000 ms                 |
      | 3     | 2     | the leader is killed for 3000 ms                 |
      | 1     | 0.7   | the entry hosts "e1,e4" are cut off for 8000 ms  |
      | 3     | 2     | the entry hosts "e1,e4" are cut off for 8000 ms  |
      | 1     | 0.7   | the entry hosts "e1,e2,e3,e4,e5,e6" are cut off for 8000 ms |
      | 1     | 0.7   | the entry hosts "e2,e3" are killed for 500 ms    |
      | 2.3   | 1.5   | all hosts lose power for 1000 ms                 |

  Scenario: A limit that is changed and taken back is followed
    Given 3 control hosts and 6 entry hosts in virtual time before 3 upstreams
    When "m1" names the limit 5 and "m2" the limit 1
    And 8000 ms of requests pass
    And "m1" names the limit 0.5 and "m2" the limit 4
    And 12000 ms of requests pass
    Then no upstream got more than its limit allows in any 4000 ms
    And "m2" got at least 2.5 requests a second in the last 6000 ms
    When "m1" and "m2" take their limits back
    And 6000 ms of requests pass
    Then "m1" got at least 10 requests a second in the last 2000 ms
    And "m2" got at least 10 requests a second in the last 2000 ms

  Scenario Outline: A limit is read from any answer to a request
    Given a gateway before upstream "u1" that will "<answer>"
    And its answers name the limit "<text>"
    When a caller sends "<path>" with the body "x"
    Then the host has read the limit <limit>

    Examples: Successes, stream heads, rejections and failures
      | answer | path        | text | limit |
      | answer | /look-up/x  | 2.5  | 2.5   |
      | answer | /look-up/x  | 1    | 1     |
      | answer | /look-up/x  | .5   | 0.5   |
      | events | /stream/x   | 0.75 | 0.75  |
      | reject | /look-up/x  | 3    | 3     |
      | answer | /look-up/x  |      | -1    |
      | answer | /look-up/x  | many | none  |
      | answer | /look-up/x  | -1   | none  |
      | answer | /look-up/x  | nan  | none  |
