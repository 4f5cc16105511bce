Feature: A host sends no requests to an upstream that has asked it not to
  An upstream that leaves says so in the header of its answers. One that rejects a
  request may say for how long it wants no other one of this host.

  Scenario Outline: An upstream that said in an answer that it leaves gets no new requests: <answer>
    Given a gateway before upstream "u1" that will "<answer>"
    And upstream "u2" that will "<answer>"
    And the host schedules the upstreams by itself
    When a caller sends "<path>" 6 times in sequence
    Then upstream "u1" got 1 requests
    And upstream "u2" got 1 requests
    And the last request was refused as not run, to be retried within 1000 ms

    Examples: Answers
      | answer              | path        |
      | leave               | /transfer/x |
      | leave_with_failure  | /transfer/x |
      | leave_within_stream | /stream/x   |

  Scenario: A stream that its leaving upstream is still sending is passed on to its end
    Given a gateway before upstream "u1" that will "leave_within_stream"
    And the host schedules the upstreams by itself
    When a caller sends "/stream/x" with the body "prompt"
    Then the caller gets events "1,2,3,4,5,6" and the end

  Scenario: An upstream that rejects for a second gets nothing in that time
    Given a gateway before upstream "u1" that will "reject_for_a_second"
    And upstream "u2" that will "answer"
    And the host schedules the upstreams by itself
    When a caller sends "/transfer/x" for 700 ms without a pause
    Then upstream "u1" got at most 1 requests
    And every caller got 200

  Scenario: An upstream that rejected for a second is used again after that time
    Given a gateway before upstream "u1" that will "reject_for_a_second"
    And the host schedules the upstreams by itself
    When a caller sends "/transfer/x" for 1500 ms without a pause
    Then upstream "u1" got 2 requests
    And the last request was refused as not run, to be retried within 1000 ms

  Scenario: A rejection until a date counts as one without a time
    Given a gateway before upstream "u1" that will "reject_until_a_date"
    And upstream "u2" that will "answer"
    When a caller sends "/transfer/x" with the body "pay 5"
    Then the caller gets 200 with the body "whole answer of u2"
    And the host got no notice

  Scenario: A notice of another upstream at the same address is not taken for its own
    Given a gateway before upstream "u1" that will "other_that_leaves"
    And upstream "u2" that will "answer"
    When a caller sends "/transfer/x" with the body "pay 5"
    Then the caller gets 200 with the body "whole answer of u2"
    And the host got no notice

  Scenario: Slots are requested only at upstreams that are not leaving
    Given a routed group of 3 control hosts and 2 entry hosts
    And upstreams "m1,m2" are listed
    And version 7 is acknowledged
    When "e1" is told by "m1" that it leaves
    And "e1" requests slots for 4 requests
    And 100 ms pass in the routed group
    Then the slots of "e1" are at "m2"

  Scenario: A slot at an upstream that has announced to leave meanwhile is given back
    Given a routed group of 3 control hosts and 2 entry hosts
    And upstreams "m1" are listed
    And version 7 is acknowledged
    When "e2" requests slots for 4 requests
    And 100 ms pass in the routed group
    And "e1" requests a slot for "late"
    And 50 ms pass in the routed group
    And "e1" is told by "m1" that it leaves
    And "e2" ends its first request
    And 100 ms pass in the routed group
    Then "late" is refused as not run for "no_upstream"
    When "e2" requests a slot for "next"
    Then "next" is granted within 100 ms

  Scenario: A busy upstream is used again when its time has passed
    Given a routed group of 3 control hosts and 2 entry hosts
    And upstreams "m1" are listed
    And version 7 is acknowledged
    When "e1" is told by "m1" that it is busy for 800 ms
    And 700 ms pass in the routed group
    And "e1" requests a slot for "early"
    And 50 ms pass in the routed group
    Then "early" is refused as not run for "no_upstream"
    When 100 ms pass in the routed group
    And "e1" requests a slot for "late"
    Then "late" is granted within 50 ms

  Scenario: The name of an upstream that has left may be used again
    Given a routed group of 3 control hosts and 2 entry hosts
    And upstreams "m1,m2" are listed
    And version 7 is acknowledged
    When "e1" is told by "m1" that it leaves
    And only upstream "m2" is listed
    And 9000 ms pass in the routed group
    And "e1" requests a slot for "kept"
    And 2000 ms pass in the routed group
    And only upstream "m1" is listed
    And "e1" requests a slot for "late"
    Then "late" is granted within 50 ms

  # Guards against upstreams that are restarted in turn and are never used again.
  Scenario Outline: An upstream that starts again under its name is used again: <read_by>
    Given a routed group of 3 control hosts and 2 entry hosts
    And upstreams "m1" are listed
    And version 7 is acknowledged
    And the list is read by <read_by>
    When "e1" is told by "m1" that it leaves
    And "m1" is listed as leaving
    And 3000 ms pass in the routed group
    And upstreams "<meanwhile>" are listed again
    And 2000 ms pass in the routed group
    And "e1" requests a slot for "early"
    And upstreams "m1" are listed again
    And 500 ms pass in the routed group
    And "e1" requests a slot for "late"
    Then "late" is granted within 50 ms

    Examples: Readers of the list as "started again"
      | read_by         | meanwhile |
      | the leader      | m2        |
      | each entry host | m2        |
      | the next leader | m2        |
      | the leader      | m1        |

  # Guards against an entry of the list that is older than the notice, and is taken for
  # the start of another lifetime.
  Scenario Outline: An upstream that is still listed as ready after its notice stays avoided: <after>
    Given a routed group of 3 control hosts and 2 entry hosts
    And upstreams "m1" are listed
    And version 7 is acknowledged
    When "e1" is told by "m1" that it leaves
    And upstreams "m1,m2" are listed again
    And 1500 ms pass in the routed group
    And <after>
    And 3000 ms pass in the routed group
    And upstreams "m1,m2" are listed again
    And 1000 ms pass in the routed group
    And "e1" requests slots for 4 requests
    And 100 ms pass in the routed group
    Then no slot of "e1" is at "m1"

    Examples: What happens meanwhile as "still listed"
      | after                            |
      | "e1" is cut off from all         |
      | the leader is cut off from all   |
      | upstreams "m2" are listed again  |

  Scenario: The replicas keep what they know of lifetimes when another one leads
    Given a directory of upstreams in which "m1" was leaving and is gone
    When another leader goes on with it and lists "m1" as ready
    Then "m1" has another lifetime
    When a leader with an older copy, which lists "m1" as ready, goes on
    Then "m1" has its first lifetime

  Scenario: Notices of upstreams never keep a host without a leader busy for ever
    A slot at an upstream that has asked for a pause meanwhile is given back, and another
    one requested; the request must not be granted the slot that it gives back.
    When hosts without a leader get 400 random events with each of 60 seeds
    Then none of them had actions without end
