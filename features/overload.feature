Feature: More load than a service can serve costs none of its capacity
  Wants wait to the end of their time, so that those that are granted late have little
  of it left. The load goes on while all upstreams are away and comes back to them.

  Scenario Outline: A service at several times its capacity serves what it can
    Given a service of 4 upstreams at <load> times its capacity
    When the load goes on for 3000 ms
    And all its upstreams are unreachable for 2000 ms
    And the load goes on for 8000 ms
    Then in the last 6000 ms it served 0.95 of what it can

    Examples:
      | load |
      | 0.5  |
      | 1.2  |
      | 2.0  |
      | 3.0  |
