Feature: Requests move to data centres with free slots
  An entry host first asks the cell of its own data centre. A request that gets no
  slot within 250 ms, or is refused, asks the cells of other data centres in turn.

  Scenario: A request asks the cell of its own data centre first
    Given an entry host in "north" with cells in "north", "south" and "east"
    When a request arrives there
    Then the cell of "north" is asked

  Scenario: A waiting request asks another cell, and its first slot request is cancelled
    Given an entry host in "north" with cells in "north", "south" and "east"
    When a request arrives there
    And 300 ms pass without an answer
    Then the slot request at "north" is cancelled
    And a cell of another data centre is asked

  Scenario: A request that has asked every cell stays at the last one
    Given an entry host in "north" with cells in "north", "south" and "east"
    When a request arrives there
    And 2000 ms pass without an answer
    Then each cell but the last was asked and cancelled exactly once

  Scenario: A late grant for a cancelled slot request is released
    Given an entry host in "north" with cells in "north", "south" and "east"
    When a request arrives there
    And 300 ms pass without an answer
    And the cell of "north" grants a slot after all
    Then that slot is released unused and nothing is dispatched

  Scenario: A request that all cells refuse gets the shortest retry time
    Given an entry host in "north" with cells in "north", "south" and "east"
    When a request arrives there
    And the cells asked refuse it with 700, 300 and 500 ms
    Then it is refused as not run, with a retry after 300 ms
