Feature: Routed requests are forwarded completely and once, with a true verdict
  A gateway forwards requests to upstreams that follow a script.

  Scenario: A complete answer is passed on unchanged, with its digest
    Given a gateway before upstream "u1" that will "answer"
    When a caller sends "/transfer/x?q=%2F" with the body "pay 5"
    Then the caller gets 200 with the body "whole answer of u1"
    And the digest is "sig"
    And upstream "u1" got "POST /transfer/x?q=%2F HTTP/1.1" with the body "pay 5"
    And the slot ended as "completed"

  Scenario: Callers cannot set the header fields that are reserved for the system
    Given a gateway before upstream "u1" that will "answer"
    When a caller sends "/transfer/x" with forged system fields
    Then upstream "u1" got the account "club" and the instance "u1"
    And upstream "u1" got none of "api-key,x-hold,x-pin-ms,x-kv-backup,kv-from,kv-fetch"
    And upstream "u1" got the host "h.example"

  Scenario: The deadline sent to the upstream is the time left after a slow body
    Given a gateway before upstream "u1" that will "answer"
    When a caller sends the body of "/transfer/x" after 400 ms
    Then upstream "u1" got between 2300 and 2620 ms

  Scenario Outline: A request without a route or an account is refused before anything is sent
    Given a gateway before upstream "u1" that will "answer"
    When a caller sends "<path>" with the key "<key>"
    Then the caller gets <status>
    And upstream "u1" got 0 requests

    Examples:
      | path        | key         | status |
      | /nowhere/x  | key-of-club | 404    |
      | /transfer/x | wrong       | 401    |

  Scenario: Without accounts in the configuration no API key is required
    Given a gateway without accounts before upstream "u1" that will "answer"
    When a caller sends "/transfer/x" with the key "wrong"
    Then the caller gets 200 with the body "whole answer of u1"

  Scenario Outline: A deadline must be a number
    Given a gateway before upstream "u1" that will "answer"
    When a caller sends "/transfer/x" with the deadline "<deadline>"
    Then the caller gets <status>

    Examples:
      | deadline | status |
      | 3000     | 200    |
      | 3000.5   | 200    |
      | soon     | 400    |

  Scenario: Without a configuration a request is refused with a retry time
    Given a gateway without a configuration
    When a caller sends "/transfer/x" with the key "key-of-club"
    Then the caller gets 503
    And the caller may retry within 1000 ms

  Scenario Outline: A transfer that may have run never gets the verdict not_run
    Given a gateway before upstream "u1" that will "<fault>"
    And upstream "u2" that will "answer"
    When a caller sends "/transfer/x" with the body "pay 5"
    Then the caller gets 502
    And upstream "u2" got 0 requests

    Examples:
      | fault          |
      | reset          |
      | short          |
      | foreign        |
      | unsigned       |
      | unframed_reset |

  Scenario: A transfer that was rejected goes to another upstream
    Given a gateway before upstream "u1" that will "reject"
    And upstream "u2" that will "answer"
    When a caller sends "/transfer/x" with the body "pay 5"
    Then the caller gets 200 with the body "whole answer of u2"
    And the second slot request is a retry

  Scenario: A transfer that was rejected by every upstream gets 503
    Given a gateway before upstream "u1" that will "reject"
    When a caller sends "/transfer/x" with the body "pay 5"
    Then the caller gets 503
    And the caller may retry within 1000 ms

  Scenario: A request to an address with a wrong upstream is retried at another upstream
    Given a gateway before upstream "u1" that will "other"
    And upstream "u2" that will "answer"
    When a caller sends "/transfer/x" with the body "pay 5"
    Then the caller gets 200 with the body "whole answer of u2"
    And the second slot request is a retry
    And the first slot ended as "other_upstream"

  Scenario Outline: A look-up is retried once, at another upstream
    Given a gateway before upstream "u1" that will "<fault>"
    And upstream "u2" that will "answer"
    When a caller sends "/look-up/x" with the body ""
    Then the caller gets 200 with the body "whole answer of u2"

    Examples:
      | fault   |
      | reset   |
      | fail    |
      | foreign |
      | hang    |

  Scenario: A look-up that failed at all its upstreams gets the last failure as its answer
    Given a gateway before upstream "u1" that will "fail"
    And upstream "u2" that will "fail"
    When a caller sends "/look-up/x" with the body ""
    Then the caller gets 500 with the body "sorry"
    And the digest is "failed"

  Scenario: An answer without a length ends with its connection
    Given a gateway before upstream "u1" that will "unframed"
    When a caller sends "/transfer/x" with the body "pay 5"
    Then the caller gets 200 with the body "to the end"

  Scenario: Events are passed on as they arrive
    Given a gateway before upstream "u1" that will "slow_events"
    When a caller sends "/stream/x" with the body "prompt"
    Then the caller gets events "1,2,3,4,5,6" and the end
    And the first event arrived at least 300 ms before the end

  Scenario: A resumable stream continues at another upstream after its last complete event
    Given a gateway before upstream "u1" that will "cut_events"
    And upstream "u2" that will "events"
    When a caller sends "/resumable/x" with the body "prompt"
    Then the caller gets events "1,2,3,4,5,6" and the end
    And the digest is "sig-of-u1"
    And upstream "u2" was asked to resume after "3"

  Scenario: A stream that is not resumable is visibly truncated when its upstream fails
    Given a gateway before upstream "u1" that will "cut_events"
    And upstream "u2" that will "events"
    When a caller sends "/stream/x" with the body "prompt"
    Then the caller gets events "1,2,3" and no end
    And upstream "u2" got 0 requests

  Scenario: A resumed stream that restarts from its beginning is not appended
    Given a gateway before upstream "u1" that will "cut_events"
    And upstream "u2" that will "events_from_the_start"
    When a caller sends "/resumable/x" with the body "prompt"
    Then the caller gets events "1,2,3" and no end

  Scenario: A resumable stream whose upstream is silent is resumed at another upstream
    Given a gateway before upstream "u1" that will "silent_events"
    And upstream "u2" that will "events"
    When a caller sends "/resumable/x" with the body "prompt"
    Then the caller gets events "1,2,3,4,5,6" and the end
    And upstream "u1" had its connection closed
    And the first slot ended as "upstream_timeout"

  Scenario: A caller's disconnect closes the connection to the upstream
    Given a gateway before upstream "u1" that will "hang"
    When a caller sends "/stream/x" and disconnects after 100 ms
    Then upstream "u1" had its connection closed within 300 ms
    And the slot ended as "caller_gone"

  Scenario: The time limit of a route ends a request
    Given a gateway with the time limit 400 ms before an upstream that hangs
    When a caller sends "/transfer/x" with the body "pay 5"
    Then the caller gets 504
    And the answer took at most 550 ms

  Scenario Outline: A slot that is granted to a request that no longer waits is released
    Given an entry host that asks a leader for slots
    When a slot is granted <moment>
    Then the slot is released as not sent
    And the entry host holds no slot

    Examples:
      | moment                                        |
      | in the turn in which its request is cancelled |
      | right before its request is cancelled         |
      | after its request was cancelled               |

  Scenario Outline: A timeout counts against an upstream only after the route's objective
    Given a gateway before upstream "u1" that will "hang"
    When a caller sends "/transfer/x" with the deadline "<deadline>"
    Then the caller gets 504
    And the slot ended as "<cause>"

    Examples:
      | deadline | cause            |
      | 250      | out_of_time      |
      | 600      | upstream_timeout |

  Scenario: The deadline of a slot request leaves the upstream time to answer
    Given a gateway before upstream "u1" that will "answer"
    When a caller sends "/transfer/x" with the deadline "1000"
    Then the slot request can wait between 700 and 850 ms

  Scenario: Idle connections are closed when the host is leaving, active ones are not
    Given a gateway before upstream "u1" that will "slow_events"
    When a caller keeps a connection idle while another one reads a stream
    And the host closes idle connections
    Then the idle connection ends
    And the stream is still completed

  Scenario: The metrics count waits, first events and sends of routed requests
    Given a gateway before upstream "u1" that will "reject"
    And upstream "u2" that will "events"
    When a caller sends "/stream/x" with the body "prompt"
    Then the metrics show 2 sends of the kind "streaming"
    And the metrics show 1 wait and 1 first event of tier 1
