Feature: Claims of a data centre that is cut off
  Without a quorum, requests that may be repeated go on under claims that two live
  hosts hold in memory; these are uploaded once the quorum is back.

  Scenario: A key runs once in a cut-off data centre
    Given a control group with a configuration
    When all control hosts are killed
    And "e1" wants the local claim "look"
    And "e2" wants the local claim "look"
    Then "e1" is granted and "e2" is told of its end
    And "look" ran 1 time and two hosts know it

  Scenario: A host that holds a key grants it to no second request of its own
    Given a control group with a configuration
    When all control hosts are killed
    And "e1" holds a local claim whose registrars restart
    And "e1" wants that local claim for another request
    And all control hosts restart
    Then only the first request was granted it and ran
    And "e1" has none left to upload after 3000 ms

  Scenario Outline: A key is still known when <dead> of its two hosts dies
    Given a control group with a configuration
    When all control hosts are killed
    And "e1" wants the local claim "look"
    And the <dead> host of the local claim "look" is killed for 2000 ms
    And another host wants the local claim "look"
    Then that host is told of its end
    And "look" ran 1 time

    Examples:
      | dead   |
      | first  |
      | second |

  Scenario: A repeat of a key that is unknown during the cut is not run
    Given a control group with a configuration
    When all control hosts are killed
    And "e1" repeats the local claim "look" with attempt 2
    Then the repeat ends as may_have_run
    And "look" ran 0 times

  Scenario: A request that must not be repeated gets no local claim
    Given a control group with a configuration
    When all control hosts are killed
    And "e1" wants the local claim "pay" of a request that is not idempotent
    Then the local claim is unknown in the same turn
    And "pay" ran 0 times

  Scenario: A local grant that arrives too late frees the key
    Given a control group with a configuration
    When all control hosts are killed
    And "e1" wants a local claim of another registrar and hears nothing for 1200 ms
    Then "e2" is told that "e1" holds the local claim
    When "e1" hears again for 3000 ms
    Then "e2" is granted the local claim, which ran 1 time

  Scenario: Local claims and their outcomes are uploaded when the quorum is back
    Given a control group with a configuration
    When all control hosts are killed for 3000 ms and "e1" runs 100 local claims
    And all faults are healed
    Then all 100 are on record with their outcomes and none is left to upload
    And each of the 100 ran once

  Scenario: A request that still runs when the quorum is back is uploaded at its end
    Given a control group with a configuration
    When requests run for 20000 ms
    And all control hosts are killed for 3000 ms and "e1" runs 1 local claims
    And all faults are healed
    Then a caller at "e2" is told that "e1" holds it
    When 20000 ms go by
    Then all 1 are on record with their outcomes and none is left to upload

  Scenario: A key that was also claimed beyond the cut is counted as a conflict
    Given a control group with a configuration
    When "e1" is isolated for 3000 ms and wants the local claim "look"
    And a caller claims "look" at "e2"
    And all faults are healed
    Then "e1" counts 1 conflict and has none left to upload
