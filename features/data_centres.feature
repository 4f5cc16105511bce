Feature: Requests stay in their data centre while upstreams there are free
  Bytes between data centres have a price, and take longer.

  Background:
    Given two entry hosts with 2 upstreams of 4 slots in the data centre of each

  Scenario Outline: Few requests are sent to upstreams in their own data centre
    When each entry host asks for <count> slots at upstreams of "<service>"
    Then all are granted in the data centre of their host

    Examples: A model and a plain service
      | service | count |
      | models  | 2     |
      | ledger  | 2     |
      | ledger  | 6     |

  Scenario: A host whose data centre is full uses the other
    When the entry host "e1" asks for 12 slots at upstreams of "ledger"
    Then all 12 are granted, 8 of them in its data centre
