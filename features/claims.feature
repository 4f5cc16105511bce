Feature: Replicated claims
  A key is granted to one holder per epoch, and its outcome is recorded.

  Scenario: The first claim of a key is granted and a later one gets its holder
    Given no claims
    When host "e1" claims "pay" for request "r1"
    And host "e2" claims "pay" for request "r2"
    Then "r1" is granted with epoch 1 to dispatch
    And "r2" is held by "e1"

  Scenario: A repeat of a granted request is granted again
    Given no claims
    When host "e1" claims "pay" for request "r1"
    And host "e1" claims "pay" for request "r1"
    Then "r1" is granted with epoch 1 to dispatch

  Scenario: A key is not accepted for a different request
    Given no claims
    When host "e1" claims "pay" for request "r1"
    And host "e2" claims "pay" with a different fingerprint for request "r2"
    Then "r2" is refused as key_reused

  Scenario: The answer of an ended claim is replayed
    Given no claims
    When host "e1" claims "pay" for request "r1"
    And host "e1" reports completed with body "paid" for epoch 1 of "pay"
    And host "e2" claims "pay" for request "r2"
    Then "r2" is ended as completed with body "paid"

  Scenario: The first outcome wins
    Given no claims
    When host "e1" claims "pay" for request "r1"
    And host "e1" reports completed with body "paid" for epoch 1 of "pay"
    And host "e1" reports not_run with body "" for epoch 1 of "pay"
    And host "e2" claims "pay" for request "r2"
    Then the last report was superseded
    And "r2" is ended as completed with body "paid"

  Scenario: Only the holder can end a claim
    Given no claims
    When host "e1" claims "pay" for request "r1"
    And host "e2" reports not_run with body "" for epoch 1 of "pay"
    And host "e3" claims "pay" for request "r3"
    Then the last report was superseded
    And "r3" is held by "e1"

  Scenario: A request that did not run may be claimed again, but not by its own duplicate
    Given no claims
    When host "e1" claims "pay" for request "r1"
    And host "e1" reports not_run with body "" for epoch 1 of "pay"
    And host "e1" claims "pay" for request "r1"
    And host "e2" claims "pay" for request "r2"
    Then "r1" is ended as not_run with body ""
    And "r2" is granted with epoch 2 to dispatch

  Scenario Outline: A takeover is granted only from a dead holder and with the next epoch: <case>
    Given no claims
    When host "e1" claims "pay" for request "r1"
    And host "e2" takes over "pay" with epoch <epoch> while "<dead>" is considered dead
    Then <result>

    Examples:
      | case         | epoch | dead | result                                       |
      | dead         | 2     | e1   | "take" is granted with epoch 2 to resume only |
      | alive        | 2     | e9   | "take" is held by "e1"                        |
      | wrong epoch  | 3     | e1   | "take" is held by "e1"                        |

  Scenario: A takeover that reports not_run is recorded as may_have_run, so that the request is not dispatched again
    Given no claims
    When host "e1" claims "pay" for request "r1"
    And host "e2" takes over "pay" with epoch 2 while "e1" is considered dead
    And host "e2" reports not_run with body "" for epoch 2 of "pay"
    And host "e3" claims "pay" for request "r3"
    Then "r3" is ended as may_have_run with body ""

  Scenario: The late outcome of a replaced holder is superseded
    Given no claims
    When host "e1" claims "pay" for request "r1"
    And host "e2" takes over "pay" with epoch 2 while "e1" is considered dead
    And host "e1" reports not_run with body "" for epoch 1 of "pay"
    And host "e3" claims "pay" for request "r3"
    Then the last report was superseded
    And "r3" is held by "e2"

  Scenario: A key never runs again inside its retention, and is free after it
    Given no claims
    When host "e1" claims "pay" for request "r1"
    And host "e1" reports completed with body "paid" for epoch 1 of "pay"
    And 86399999 ms pass for the claims
    And host "e2" claims "pay" for request "r2"
    And 2 ms pass for the claims
    And host "e3" claims "pay" for request "r3"
    Then "r2" is ended as completed with body "paid"
    And "r3" is granted with epoch 1 to dispatch

  Scenario: Above the size limit answers are dropped first, then new keys are refused
    Given no claims and a limit of 100000 bytes
    When 1000 keys are claimed and end with a body of 1000 bytes each
    Then every key that was granted is recorded with its verdict
    And the size is at most 100000 bytes and one record
    And some keys were refused as full

  Scenario: A strike counts once per report and expires
    Given no strikes
    When report "a" strikes request 7
    And report "a" strikes request 7
    And report "b" strikes request 7
    Then request 7 has 2 strikes
    When 3600000 ms pass before report "c" strikes request 8
    Then request 7 has 0 strikes
    And request 8 has 1 strikes
