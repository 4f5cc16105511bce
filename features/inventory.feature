Feature: Upstreams come from the asset register
  An import shows what it adds, changes and removes, and changes nothing else.

  Background:
    Given a configuration tuned by hand with upstreams engine-1 and engine-2

  Scenario Outline: A register adds, changes and removes upstreams
    When the register in <form> moves engine-1, omits engine-2 and adds engine-3
    Then the import adds engine-3, moves engine-1 to swansea and removes engine-2
    And the limits and comments of engine-1 are unchanged
    And the column "rack" is ignored
    And the new configuration is read without a fault

    Examples:
      | form       |
      | csv        |
      | semicolons |
      | json       |
      | renamed    |

  Scenario: A value of several lines is replaced as a whole
    When the register gives engine-1 the one model "tiny"
    Then engine-1 has the one model "tiny" and its limits and comments

  Scenario: A register that agrees changes nothing
    When the register agrees with the configuration
    Then the import is empty and the text is the same

  Scenario Outline: An invalid register is refused as a whole
    When a register has <fault>
    Then the register is refused and "<place>" is named

    Examples:
      | fault                | place    |
      | a row without a name | row 2    |
      | the same name twice  | engine-1 |
      | too many cells       | row 1    |
      | no rows              | register |
      | a nested value       | row 1    |
      | broken json          |          |

  Scenario: A value that would add a section is refused
    When a register has a value with a line break and a section
    Then the import is refused

  Scenario: Any edit changes only its own value
    When any values are set, added and removed in any configuration
    Then each edit changed only its own value and kept every comment
