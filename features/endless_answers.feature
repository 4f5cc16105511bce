Feature: Bytes without end cost a bounded amount of memory and time
  Bytes that are no answer may come without end, in a head, an interim answer, a body or
  an event, fast or byte by byte, from several upstreams at once.

  Scenario Outline: Upstreams that send bytes without end harm only their own callers: <place>
    Given an entry host in a process of its own before upstreams with endless "<place>"
    When each of these upstreams gets a request, and a sound one gets others meanwhile
    Then each caller of these upstreams got a truthful end within its time limit
    And the host closed the connection to each of these upstreams
    And each of these upstreams serves the next request
    And the other callers' answers came within their route's goal
    And the host's memory stayed within its bound

    Examples: Places
      | place           |
      | heads           |
      | interim answers |
      | bodies          |
      | large bodies    |
      | streams         |

  Scenario Outline: Processor time grows no steeper than the bytes that arrive: <input>
    When "<input>" of <size> and of 4 times as many bytes is read
    Then the processor time grew at most in proportion, within a margin of 75%

    Examples: Inputs
      | input                              | size   |
      | an event in pieces of 16 bytes     | 8192   |
      | a comment in pieces of 16 bytes    | 8192   |
      | lines of an event in small pieces  | 8192   |
      | small events in one piece          | 131072 |
      | blank lines in one piece           | 8192   |
      | a head in pieces of a byte         | 3500   |
      | a body in chunks of a byte         | 65536  |

  Scenario Outline: A reader gives up on an answer that arrives byte by byte without end: <reader>
    Given an upstream whose answer arrives byte by byte without end
    When the "<reader>" reads from it
    Then it ends with UpstreamTimedOut within 3000 ms
    And the connection to the upstream is closed
    And the client keeps no bytes of any answer
    And the limit of an order is that of its sender

    Examples: Readers
      | reader            |
      | list of upstreams |
      | engine report     |
      | report for orders |
      | engine order      |
      | engine cancel     |

  Scenario Outline: A reader gives up on an answer without end: <reader>
    Given an upstream whose answer arrives fast and without end
    When the "<reader>" reads from it
    Then it ends with AnswerTooLarge within 3000 ms
    And the connection to the upstream is closed
    And the client keeps no bytes of any answer

    Examples: Readers
      | reader            |
      | list of upstreams |
      | engine report     |
      | report for orders |
      | engine order      |
      | engine cancel     |
      | engine export     |

  Scenario: A call with a key keeps no more of an answer without end than its limit
    Given an upstream whose answer arrives fast and without end
    When a call for a request with a key copies it
    Then the call ended as "upstream_error" and "may_have_run" within 3000 ms
    And the call kept less than 18 MB of the answer
    And the connection to the upstream is closed
    And the client keeps no bytes of any answer

  Scenario: The largest answer is given up when all together are too large
    Given an upstream whose answer arrives fast and without end
    And another upstream with an answer of 1 MB
    When a client that may keep 2 MB reads from both
    Then the answer without end is too large and the other one is complete
    And the client keeps no bytes of any answer

  Scenario: An answer that was given up is freed without the garbage collector
    Given an upstream whose answer arrives fast and without end
    When its answer is given up while the garbage collector is off
    Then nothing keeps the answer
    And the client keeps no bytes of any answer

  Scenario: Answers that nobody reads take no more memory together than their limit
    Given an upstream whose answer arrives fast and without end
    When 8 answers are not read by a client that may read 128 KB ahead
    Then it has read at most 128 KB and one read of each answer ahead
    And each of the answers goes on when it is read
    And the client keeps no bytes of any answer

  Scenario: An upstream that changes the protocol is not read any further
    Given an upstream whose answer arrives fast and without end
    When a request with the method CONNECT reads from it
    Then it ends with AnswerMalformed within 3000 ms
    And the connection to the upstream is closed

  Scenario: A small answer passes while slow callers keep more than the limit
    Given an upstream whose answer arrives fast and without end
    And another upstream with an answer of 1 MB
    When a client that may keep 1.05 MB keeps one of them and reads 100 KB of the other
    Then the answer is not given up

  Scenario: An answer whose unread rest is dropped does not look complete
    Given another upstream with an answer of 1 MB
    When its client is closed once a whole answer has arrived, and the answer is read
    Then it ends with AnswerTruncated within 3000 ms
