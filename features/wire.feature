Feature: Messages are unchanged after encoding and decoding
  Every message between hosts is encoded as protobuf and decoded to an equal message.

  Scenario: Any message is decoded as it was encoded
    When any message of any type is encoded and decoded
    Then the result equals the original

  Scenario: Any command of the log is decoded as it was encoded
    When any command of the replicated log is encoded and decoded
    Then the result equals the original
