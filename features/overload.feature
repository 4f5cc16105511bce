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

  Scenario Outline: What a service beyond its capacity serves meets the goal
    A queue in the order of goals would grant each request just when its goal is missed.

    Given a service of 4 upstreams at <load> times its capacity
    When the load continues for 3000 ms
    And only what is sent from now on counts
    And the load continues for 6000 ms
    Then answers that met the goal are at least <least> of what it can serve
    And 0.95 of the refusals come within 40 ms

    Examples: Loads that last
      | load | least |
      | 0.9  | 0.89  |
      | 1.1  | 0.9   |
      | 1.3  | 0.9   |
      | 2.0  | 0.9   |
      | 4.0  | 0.9   |

  Scenario: The flood of one account costs the others nothing
    Given a service of 4 upstreams at 3 times its capacity
    And one of its accounts sends 20 times as much as each other one
    When the load continues for 3000 ms
    And only what is sent from now on counts
    And the load continues for 6000 ms
    Then the other accounts' requests that met the goal are at least 0.95 of theirs
    And answers that met the goal are at least 0.9 of what it can serve

  Scenario: Most of what comes in a short burst is served after it
    Given a service of 4 upstreams at 2 times its capacity
    When the load continues for 400 ms
    And the load falls to 0.5 times its capacity
    And the load continues for 1500 ms
    Then at most 0.1 of the requests are refused

  Scenario Outline: Engines beyond their capacity earn more than by the order of goals
    The least share is what an order by goals alone earned, and a tenth of it.

    Given 6 engines with <load> times the work that they can do
    When the engines run for 6000 ms
    And only what is sent to engines from now on counts
    And the engines run for 15000 ms
    Then the answers are worth at least <least> of what was asked
    And at least 0.5 of the answers meet the goal
    And half of the refusals come within 40 ms

    Examples: Loads that last
      | load | least |
      | 0.7  | 0.95  |
      | 2.0  | 0.585 |
      | 3.0  | 0.333 |

  Scenario: A burst costs engines no punctual answers of the highest tier
    Given 6 engines with 0.6 times the work that they can do
    When the engines run for 5000 ms
    And only what is sent to engines from now on counts
    And the load of the engines rises to 2.5 for 3000 ms
    And the load of the engines rises to 0.6 for 15000 ms
    Then the answers of "draft" are worth at least 0.9 of what was asked
