Feature: Replicated configuration
  Versions only increase, one of several changes with the same base version wins,
  and a repeated change gets its first result.

  Scenario: One of two operators with equal base versions wins
    Given a configuration at version 3
    When operators "ann" and "bob" both propose on version 3
    Then "ann" is accepted with version 4
    And "bob" gets a conflict with version 4 by "ann"

  Scenario Outline: A repeated change gets its first outcome <event>
    Given a configuration at version 3
    When operators "ann" and "bob" both propose on version 3
    And <event>
    And "ann" repeats the change
    And "bob" repeats the change
    Then "ann" is accepted with version 4
    And "bob" gets a conflict with version 4 by "ann"
    And the configuration is "by ann" and no other change was applied

    Examples:
      | event                              |
      | nothing else happens               |
      | the state goes through a snapshot  |

  Scenario: A change id is not accepted for a different change
    Given a configuration at version 3
    When operators "ann" and "bob" both propose on version 3
    And "ann" sends different content with the same change id
    Then "ann" gets the result invalid

  Scenario: Change ids, history and contents are limited
    Given a configuration at version 0
    When 30000 changes of 1000 bytes are applied
    Then the configuration is at version 30000
    And at most 20000 change ids and 1000 versions are kept
    And at most 4194304 bytes of old contents are kept
    And a repeat of change 1 is a conflict that changes nothing
