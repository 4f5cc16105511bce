Feature: A request that another host relays is answered as one that is sent directly
  The other host opens the connection to the upstream and passes bytes on, so that what
  proves an end, or that a request was not run, stays what it is on a socket.

  Scenario Outline: Answers through a relay arrive whole: <path>
    Given a gateway before upstream "u1" that will "<step>"
    And another host relays the connections
    When a caller sends "<path>" with the body "pay 5"
    Then the caller gets <answer>
    And upstream "u1" got 1 requests
    And the slot ended as "completed"

    Examples: Kinds of requests
      | path         | step   | answer                                 |
      | /transfer/x  | answer | 200 with the body "whole answer of u1" |
      | /look-up/x   | answer | 200 with the body "whole answer of u1" |
      | /resumable/x | events | events "1,2,3,4,5,6" and the end       |

  Scenario Outline: A relayed stream that was cut short does not look complete: <end>
    Given a gateway before upstream "u1" that will "<end>"
    And another host relays the connections
    When a caller sends "/stream/x" with the body "prompt"
    Then the caller gets events "1,2,3" and no end
    And the slot ended as "upstream_died"

    Examples: Ends
      | end                     |
      | close_within_event      |
      | reset_within_event      |
      | last_chunk_within_event |
      | close_within_chunk      |
      | length_within_event     |
      | close_within_length     |

  Scenario: A relayed answer that ends with its connection is told from one that is reset
    Given a gateway before upstream "u1" that will "unframed"
    And another host relays the connections
    When a caller sends "/transfer/x" with the body "pay 5"
    Then the caller gets 200
    And the slot ended as "completed"

  Scenario: A relayed answer without a length that is reset is not complete
    Given a gateway before upstream "u1" that will "unframed_reset"
    And another host relays the connections
    When a caller sends "/transfer/x" with the body "pay 5"
    Then the caller gets 502

  Scenario: Requests in sequence use one connection of the relay
    Given a gateway before upstream "u1" that will "answer"
    And another host relays the connections
    When a caller sends "/transfer/x" 3 times in sequence
    Then upstream "u1" got 3 requests
    And the relay opened 1 connection

  Scenario Outline: A relay that connects to no upstream proves that the request is not run: <path>
    Given a gateway before upstream "u1" that will "answer"
    And another host relays the connections, but knows no upstream
    When a caller sends "<path>" with the body "pay 5"
    Then the caller gets 503
    And upstream "u1" got 0 requests
    And the first slot ended as "relay_unreachable"

    Examples: Kinds of requests
      | path        |
      | /transfer/x |
      | /look-up/x  |

  Scenario: An upstream that the relay can't connect to is left for another one
    Given a gateway before upstream "u1" that will "answer"
    And upstream "u2" that will "answer"
    And another host relays the connections, while "u1" accepts none
    When a caller sends "/transfer/x" with the body "pay 5"
    Then the caller gets 200 with the body "whole answer of u2"
    And the first slot ended as "unreachable"

  Scenario: A relay that is lost after a request was sent leaves open whether it ran
    Given a gateway before upstream "u1" that will "hang"
    And upstream "u2" that will "answer"
    And another host relays the connections, and ends after 300 ms
    When a caller sends "/transfer/x" with the body "pay 5"
    Then the caller gets 502
    And upstream "u2" got 0 requests
    And the slot ended as "relay_lost"

  Scenario: A caller that leaves ends the relayed connection
    Given a gateway before upstream "u1" that will "hang"
    And another host relays the connections
    When a caller sends "/transfer/x" and disconnects after 100 ms
    Then upstream "u1" had its connection closed within 500 ms
