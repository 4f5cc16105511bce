Feature: A request that must run once is sent again only with a proof
  An upstream may have run each request that reached it. A second send, and an answer that
  the request has not run, need a proof that nobody ran it and nobody will.

  Scenario: A late copy of a rejection does not make a transfer run twice where two names have one address
    Given an upstream that was restarted as "u-new" while "u-old" is still listed, before "u3"
    And it rejects the first send with 503, and sends that again before it runs a second one
    When a caller sends "/transfer/x" with the body "pay 5"
    Then the transfer ran 1 times
    And the caller gets 200 with the body "whole answer of u3"

  Scenario: A restarted upstream serves under its new name what it got under the old one
    Given an upstream that was restarted as "u-new" while "u-old" is still listed, before "u3"
    And it rejects the first send with 421, and sends that again on its connection before it runs a second one
    When a caller sends "/transfer/x" with the body "pay 5"
    Then the transfer ran 1 times
    And the caller gets 200 with the body "whole answer of u-old"

  Scenario: A resumable route that is no stream is not sent again after it may have run
    Given a gateway whose transfers are marked as resumable before upstream "u1" that will "reset"
    And upstream "u2" that will "answer"
    When a caller sends "/transfer/x" with the body "pay 5"
    Then the caller gets 502
    And upstream "u2" got 0 requests

  Scenario Outline: A second request with the id of one in progress is not sent: <kind>
    Given a gateway before upstream "u1" that will "<step>"
    When a caller sends "/<kind>/x" on two connections at once with the same id
    Then upstream "u1" got 1 requests
    And the answers have the statuses 200 and 502

    Examples: Kinds that run once
      | kind     | step        |
      | transfer | late_answer |
      | stream   | slow_events |

  Scenario: A request that another host has in progress is not refused as not run
    Given a gateway whose scheduler says that the request is in progress elsewhere
    When a caller sends "/transfer/x" with the body "pay 5"
    Then the caller gets 502

  Scenario: A request whose time passed while its host was frozen is not sent
    Given a gateway before upstream "u1" that will "answer"
    And its host freezes for 600 ms right after each grant
    When a caller sends "/transfer/x" with the deadline "500"
    Then the caller gets 503
    And upstream "u1" got 0 requests

  Scenario: A caller that has half-closed while its stream could not be written is gone at once
    Given a gateway before upstream "u1" that will "flood_events"
    When a caller sends "/resumable/x", reads nothing and closes its sending side once the stream is blocked
    Then upstream "u1" is closed within 500 ms

  Scenario Outline: A rejection is believed by its head, however its body ends: <rejection>
    Given a gateway before upstream "u1" that will "<rejection>"
    And upstream "u2" that will "answer"
    When a caller sends "/transfer/x" with the body "pay 5"
    Then the caller gets 200 with the body "whole answer of u2"
    And the answer took at most 300 ms

    Examples: Bodies
      | rejection           |
      | reject_with_cut     |
      | reject_without_end  |
      | reject_and_dribble  |

  Scenario Outline: A stream whose events have no ids is not begun anew within an answer: <kind>
    Given a gateway before upstream "u1" that will "cut_unnumbered_events"
    And upstream "u2" that will "unnumbered_events"
    When a caller sends "/<kind>/x" with the body "prompt"
    Then the caller gets a stream that broke off
    And upstream "u2" got 0 requests

    Examples: Kinds that may be repeated
      | kind      |
      | resumable |
      | look-up   |
