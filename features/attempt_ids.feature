Feature: An attempt that arrives twice is neither sent twice nor promised not to run
  Each attempt of a caller has its own id. If the same id arrives again while the first
  arrival is in progress, here or at another host, the second one may be running.

  Scenario: A second arrival at the same host is refused without a promise
    Given a gateway before upstream "u1" that will "hang"
    And upstream "u2" that will "answer"
    When "/transfer/x" arrives twice at once with the same id
    Then the second arrival gets 502 and "may_have_run"
    And the upstreams got 1 request together

  Scenario: An id can be used again when its first arrival has ended
    Given a gateway before upstream "u1" that will "answer"
    When "/transfer/x" arrives twice in turn with the same id
    Then the second arrival gets 200 and the whole answer of "u1"

  Scenario: An arrival that the leader knows from another host is refused without a promise
    Given a gateway before upstream "u1" that will "answer"
    And the leader knows the request from another host
    When a caller sends "/transfer/x" with the body "pay 5"
    Then the caller gets 502
    And upstream "u1" got 0 requests

  Scenario: A second wait for the same slot does not take the place of the first
    Given an entry host that asks a leader for slots
    When two requests with the same id wait for a slot and it is granted
    Then the first gets the slot and the second is refused as in progress
