Feature: Messages survive the wire
  Every message between hosts is encoded as protobuf and read back unchanged.

  Scenario: Any message comes back as it was sent
    When any message of any type is encoded and decoded
    Then it equals the message that was sent

  Scenario: Any command of the log comes back as it was written
    When any command of the replicated log is encoded and decoded
    Then it equals the message that was sent
