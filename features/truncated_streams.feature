Feature: A stream that was cut short never looks complete
  A stream has broken off if it ends inside an event, however its body is framed: by a
  length, in chunks, or by the end of the connection.

  Scenario Outline: A stream that ends inside an event is not framed as complete: <end>
    Given a gateway before upstream "u1" that will "<end>"
    And upstream "u2" that will "events"
    When a caller sends "/stream/x" with the body "prompt"
    Then the caller gets events "1,2,3" and no end
    And upstream "u2" got 0 requests
    And the slot ended as "upstream_died"

    Examples: Not resumable
      | end                     |
      | close_within_event      |
      | reset_within_event      |
      | last_chunk_within_event |
      | close_within_chunk      |
      | length_within_event     |
      | close_within_length     |

  Scenario Outline: A resumable stream that ends inside an event continues at another upstream: <end>
    Given a gateway before upstream "u1" that will "<end>"
    And upstream "u2" that will "events"
    When a caller sends "/resumable/x" with the body "prompt"
    Then the caller gets events "1,2,3,4,5,6" and the end
    And the digest is "sig-of-u1"
    And upstream "u2" was asked to resume after "3"

    Examples: Resumable
      | end                     |
      | close_within_event      |
      | reset_within_event      |
      | last_chunk_within_event |
      | close_within_chunk      |
      | length_within_event     |
      | close_within_length     |

  Scenario Outline: A stream that breaks off before its first event is no answer: <end>
    Given a gateway before upstream "u1" that will "<end>"
    When a caller sends "/stream/x" with the body "prompt"
    Then the caller gets 502

    Examples: Not resumable
      | end                  |
      | close_before_events  |
      | close_in_first_event |

  Scenario Outline: A resumable stream without its first event is begun at another upstream: <end>
    Given a gateway before upstream "u1" that will "<end>"
    And upstream "u2" that will "events"
    When a caller sends "/resumable/x" with the body "prompt"
    Then the caller gets events "1,2,3,4,5,6" and the end
    And the digest is "sig-of-u2"

    Examples: Resumable
      | end                  |
      | close_before_events  |
      | close_in_first_event |

  Scenario: A stream that ends with its connection, after a whole event, is complete
    Given a gateway before upstream "u1" that will "close_after_events"
    When a caller sends "/stream/x" with the body "prompt"
    Then the caller gets events "1,2,3,4,5,6" and the end

  Scenario: A stream is resumed at an upstream whose answer ends with its connection
    Given a gateway before upstream "u1" that will "cut_events"
    And upstream "u2" that will "close_after_events"
    When a caller sends "/resumable/x" with the body "prompt"
    Then the caller gets events "1,2,3,4,5,6" and the end
    And upstream "u2" was asked to resume after "3"

  Scenario Outline: The end of a stream is recognised for each line end and way to arrive: <stream>
    When the stream "<stream>" arrives in pieces of 1 to 9 bytes
    Then it has <count> events each time
    And with a last chunk it is <framed>, and without one it is <unframed>

    Examples: Streams
      | stream                         | count | framed    | unframed  |
      | id: 1\n\nid: 2\n\n             | 2     | complete  | complete  |
      | id: 1\r\n\r\nid: 2\r\n\r\n     | 2     | complete  | complete  |
      | id: 1\r\rid: 2\r\r             | 2     | complete  | complete  |
      | id: 1\n\n:\sping\n             | 1     | complete  | complete  |
      | id: 1\n\n\n                    | 1     | complete  | complete  |
      | id: 1\n\nid: 2\n               | 1     | truncated | truncated |
      | id: 1\n\ndata                  | 1     | truncated | truncated |
      | id: 1\r\n                      | 0     | truncated | truncated |
      | :\sping\n\n                    | 1     | complete  | truncated |
      | \s                             | 0     | complete  | truncated |
