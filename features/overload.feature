Feature: Overload costs a service none of its capacity
  Slot requests wait until their deadline, so those that are granted late have little
  time left to run. The load continues while all upstreams are unreachable and after
  their return.

  Scenario Outline: A service at several times its capacity serves what it can
    Given a service of 4 upstreams at <load> times its capacity
    When the load continues for 3000 ms
    And all its upstreams are unreachable for 2000 ms
    And the load continues for 8000 ms
    Then in the last 6000 ms it served at least 0.95 of what it can

    Examples:
      | load |
      | 0.5  |
      | 1.2  |
      | 2.0  |
      | 3.0  |
