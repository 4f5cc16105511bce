Feature: Costs of control work don't grow with the square of the number of hosts
  The leader answers each heartbeat of each entry host, and all hosts start at once.

  Scenario Outline: The leader gets a bounded number of heartbeats from many entry hosts
    Given 6 control hosts and <hosts> entry hosts with slow ticks in virtual time
    When all entry hosts follow the leader
    And 3000 ms pass without requests
    Then control and entry hosts exchange at most <most> heartbeats a second
    And no entry host changed its leader

    Examples: Fleets of today, and the target of 390 hosts
      | hosts | most |
      | 6     | 400  |
      | 65    | 1000 |
      | 200   | 1100 |
      | 390   | 2200 |

  Scenario: Entry hosts that find no leader ask for it less and less often
    Given 6 control hosts and 100 entry hosts with slow ticks in virtual time
    And all control hosts are down
    When 4000 ms pass without requests
    Then control and entry hosts exchange at most 900 heartbeats a second

  Scenario: Many entry hosts follow a new leader within the time that hosts may take
    Given 6 control hosts and 200 entry hosts with slow ticks in virtual time
    When all entry hosts follow the leader
    And 2000 ms pass without requests
    And their leader stops
    Then all entry hosts follow another leader within 5000 ms
    And no entry host that ran was counted as lost
