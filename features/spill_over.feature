Feature: Requests move to data centres that have room
  An entry host of one data centre asks the cell there first. A request that gets no
  slot within 250 ms, or is refused, asks the cells of other data centres in turn.

  Scenario: A request asks the cell of its own data centre first
    Given an entry host in "north" with cells in "north", "south" and "east"
    When a request arrives there
    Then the cell of "north" is asked

  Scenario: A request that waits moves on, and its first want is withdrawn
    Given an entry host in "north" with cells in "north", "south" and "east"
    When a request arrives there
    And 300 ms go by without an answer
    Then the want at "north" is withdrawn
    And a cell of another data centre is asked

  Scenario: A request that has been everywhere stays where it is
    Given an entry host in "north" with cells in "north", "south" and "east"
    When a request arrives there
    And 2000 ms go by without an answer
    Then each cell was asked and withdrawn at most once, but for the last

  Scenario: A late grant of a cell that was left is given back
    Given an entry host in "north" with cells in "north", "south" and "east"
    When a request arrives there
    And 300 ms go by without an answer
    And the cell of "north" grants a slot after all
    Then that slot is released unused and nothing is dispatched

  Scenario: A request that all cells refuse is refused with the soonest time to come back
    Given an entry host in "north" with cells in "north", "south" and "east"
    When a request arrives there
    And the cells asked refuse it with 700, 300 and 500 ms
    Then it is refused as not run, to come back in 300 ms
