@fixture.small_deployment
Feature: A request is served end to end by separate processes
  Three control hosts, two entry hosts, two engines of different speeds and one plain
  service run as real processes; answers are compared byte for byte.

  Scenario Outline: A completion is answered completely by any entry host
    When a caller asks <entry> for a completion of <tokens> tokens
    Then the answer is the complete text of that completion

    Examples:
      | entry   | tokens |
      | entry-1 | 1      |
      | entry-2 | 100    |

  Scenario: A streamed completion is answered completely
    When a caller asks entry-1 for a streamed completion of 50 tokens
    Then the stream contains the complete text and the end marker

  Scenario: A repeat at another entry host gets the same answer without a second dispatch
    When a caller asks entry-1 for a completion with key repeat-1
    And the same caller asks entry-2 for the same with key repeat-1
    Then both answers are the same bytes
    And the engines have seen key repeat-1 in 1 dispatch

  Scenario: A transfer repeated at every entry host runs once
    When a caller sends the transfer pay-1 to entry-1 and entry-2 at the same time
    And the same caller sends the transfer pay-1 to entry-2 again
    Then every answer to pay-1 is the same
    And the service has run pay-1 once

  Scenario: A key used for another request is refused as not run
    When a caller sends the transfer pay-2 to entry-1 and entry-2 at the same time
    And a caller sends another transfer with key pay-2 to entry-2
    Then the last answer has status 422 and verdict not_run
    And the service has run pay-2 once

  Scenario: A non-idempotent call without a key is refused as not run
    When a caller sends a transfer without a key to entry-1
    Then the last answer has status 400 and verdict not_run

  Scenario: A change of the configuration is in force on every host within 4 s
    When an operator adds the client account late-comer
    Then late-comer is served by every entry host within 4000 ms

  Scenario: An engine's cache events use the block hashes of the entry hosts
    When a caller asks entry-1 for a completion with a prompt of 4 blocks
    Then an engine reports the hashes of these blocks as cached

  Scenario: An engine that the platform lists as leaving gets no new requests
    When the platform lists engine-1 as leaving and callers continue for 3000 ms
    Then engine-1 got no request later than 2000 ms after it was listed

  Scenario: An unreadable platform list leaves the last list in use
    When the platform lists engine-1 as leaving and callers continue for 3000 ms
    And the platform's list becomes unreadable and callers continue for 3000 ms
    Then engine-1 got no request later than 2000 ms after it was listed
