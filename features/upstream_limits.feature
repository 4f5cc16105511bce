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

  Scenario: A limit that is named in rejections is kept
    Given programs of 3 control hosts and 6 entry hosts before 4 upstreams that name limits
    And upstreams reject what is over their limits
    And requests "/look-up/x" to the service "ledger"
    When the limits "1 1 1" are named within 14 s
    Then no upstream got more than one and a half times its limit and 5 requests in 4 s
    And 9 in 10 requests were answered

  Scenario: An upstream that takes its limit back gets all requests again
    Given programs of 3 control hosts and 6 entry hosts before 1 upstreams that name limits
    And requests "/look-up/x" to the service "ledger"
    When the limits "1 1 1, 5 1 " are named within 14 s
    Then upstream 1 got at least 50 requests in the last 4 s
