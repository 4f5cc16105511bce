Feature: On the own interface, a host without links takes no upstream from the others
  The entry host that schedules a cell hears from all entry hosts how requests end.

  Scenario: Connections that fail at one host close no upstream of a cell for others
    Given an entry host that schedules a cell of 2 upstreams for 2 others
    When the first of them can't connect to any upstream
    Then the second one is granted a slot at once

  Scenario: Connections that fail at all hosts close the upstreams of a cell
    Given an entry host that schedules a cell of 2 upstreams for 2 others
    When the first of them can't connect to any upstream
    And the second of them can't connect to any upstream
    Then the second one is granted no slot at once
