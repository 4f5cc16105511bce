Feature: Hosts that lost their links to upstreams serve their callers and harm no others
  Callers, control hosts and the other entry hosts still reach such a host.

  Scenario Outline: Callers of hosts without links to upstreams are served
    Given programs of 3 control hosts and 6 entry hosts, each with links to 6 upstreams
    When requests "<path>" are sent while the links of <hosts> entry hosts are <fault>
    Then 9 in 10 first tries are served at the other hosts
    And 9 in 10 first tries are served at these hosts
    And no request that may run once ran twice, or ran and was refused as not run

    Examples: Links that fail as "lost links"
      | path         | hosts | fault  |
      | /look-up/x   | 2     | silent |
      | /transfer/x  | 2     | silent |
      | /resumable/x | 2     | silent |
      | /look-up/x   | 5     | silent |
      | /transfer/x  | 2     | reset  |
      | /transfer/x  | 2     | abort  |
      | /look-up/x   | 2     | mute   |
      | /look-up/x   | 2     | refuse |
      | /look-up/x   | 3     | silent to other halves of the upstreams |
      | /transfer/x  | 3     | reset to other halves of the upstreams  |
      | /transfer/x  | 2     | hold   |
      | /resumable/x | 2     | hold   |
