Feature: The configuration determines the route, account and tier of a request
  The users' platform sends its configuration as JSON; it is parsed into routes.

  Scenario Outline: The longest prefix of the host wins
    Given a configuration with the routes "a /; a /x/; a /x/y/; b /x/"
    When "<path>" is asked of host "<host>"
    Then the route is "<route>"

    Examples:
      | host      | path     | route  |
      | a         | /x/y/z   | a /x/y/ |
      | a         | /x/yz    | a /x/  |
      | A:8080    | /x/      | a /x/  |
      | a         | /other   | a /    |
      | b         | /other   | none   |
      | c         | /x/      | none   |

  Scenario: Requests are distributed by weight, and none goes to a service of weight 0
    Given a route split 3 to 1 to 0
    When 4000 requests use it
    Then about 3000, 1000 and 0 of them go to the services

  Scenario: The account's priority takes precedence over the route's
    Given accounts of priority 0 and 1 and routes of priority 0 and 2
    Then the tiers are 1, 2, 3 and 4 in that order

  Scenario Outline: An invalid configuration is refused as a whole
    When the operator sends a configuration with <fault>
    Then it is refused and the reason names "<reason>"

    Examples:
      | fault                          | reason          |
      | its last bytes missing         | JSON            |
      | a route to an unknown service  | not a service   |
      | two routes for one prefix      | two routes      |
      | weights that add up to 0       | weights         |
      | a time limit of 0              | TimeoutMs       |
      | a key that two accounts share  | holds it too    |
      | a version as a string          | Version         |
      | a prefix without a slash       | Prefix          |

  Scenario Outline: A configuration with a number that no message can hold is refused: <number>
    When the operator sends a configuration whose <number>
    Then it is refused and the reason names "<reason>"

    Examples:
      | number                              | reason          |
      | Version is 18446744073709551616     | Version         |
      | TimeoutMs is 1e999                  | TimeoutMs       |
      | TimeoutMs is 1e300                  | TimeoutMs       |
      | GoalMs is 1e300                     | GoalMs          |
      | Priority is 99999999999999999999999 | Priority        |
      | RatePerS is 1e999                   | RatePerS        |

  Scenario: Unknown fields are ignored
    When the operator sends a configuration with an unknown field
    Then it is accepted

  Scenario: Malformed entries of the upstream list do not hide the others
    Given a list of upstreams of which 5 entries are malformed and 2 are valid
    When the list is read
    Then it names the 2 valid upstreams

  Scenario: The start of an upstream, where the list names it, tells its lifetimes apart
    Given a list of upstreams of which one names the time of its start
    When the list is read
    Then that upstream has the time of its start as its lifetime

  Scenario: A paged list is read to its last page
    Given a list of upstreams in 3 pages
    When the list is read
    Then it names 6 upstreams

  Scenario: A list whose reading fails is not taken for a shorter one
    Given a list of upstreams whose second page fails
    When the list is read
    Then the reading fails
