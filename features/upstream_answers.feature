Feature: An answer is believed only once it is known whose it is
  An upstream may send an answer late, at the place of the next one. Its request id says
  whose it is; what it says of another request says nothing about this one.

  Scenario Outline: The log says whose answer an upstream sent: <answer>
    Given a gateway before upstream "u1" that will "<answer>"
    When a caller sends "/transfer/x" with the body "pay 5" and its lines are logged
    Then an unsuccessful answer of <owner> with status <status> is logged, marked <marked>

    Examples: Answers
      | answer             | owner   | status | marked |
      | reject             | request | 503    | True   |
      | reject_of_another  | other   | 503    | True   |
      | reject_of_nobody   | nobody  | 503    | True   |
      | fail               | request | 500    | False  |

  Scenario Outline: No answer without a proof has a <kind> run again or refused as not run: <placement>
    Given a gateway before an upstream that answers by description and a faithful one
    When a caller sends <kind> requests to which each answer is sent <placement>
    Then no promise is broken, nothing runs twice and no answers are mixed up
    And every proof of a rejection is believed

    Examples: Kinds and placements
      | kind      | placement                             |
      | transfer  | in place of its answer                |
      | stream    | in place of its answer                |
      | look-up   | in place of its answer                |
      | resumable | in place of its answer                |
      | transfer  | before its answer to the next request |
      | stream    | before its answer to the next request |
      | look-up   | before its answer to the next request |
      | resumable | before its answer to the next request |

  Scenario Outline: A late rejection of another request does not make a transfer run twice: <status>
    Given a gateway before an upstream that answers by description and a faithful one
    And "u1" sends <status> marked "<marks>" in the name of "another", before its answer to the next request, for request "b"
    When a caller sends the transfer requests "a,b" in sequence
    Then request "a" gets the complete answer of "u1" with 200
    And request "b" ran 1 times
    And no promise is broken, nothing runs twice and no answers are mixed up

    Examples: Rejections
      | status | marks |
      | 421    | none  |
      | 429    | 1     |
      | 503    | 1     |

  Scenario Outline: A late rejection of another request is no promise for a <kind>
    Given a gateway before an upstream that answers by description and a faithful one
    And "u1" sends 503 marked "1" in the name of "another", before its answer to the next request, for request "b"
    And "u2" sends 503 marked "1" in the name of "own", in place of its answer, for request "b"
    When a caller sends the <kind> requests "a,b" in sequence
    Then request "b" gets one of "502,504"
    And request "b" ran 1 times

    Examples: Kinds that run once
      | kind     |
      | transfer |
      | stream   |

  Scenario Outline: A rejection that names no request is no promise: <status> marked <marks>
    Given a gateway before an upstream that answers by description and a faithful one
    And "u1" sends <status> marked "<marks>" in the name of "none", in place of its answer, for request "b"
    When a caller sends the transfer requests "b" in sequence
    Then request "b" gets one of "502,504"
    And request "b" gets no digest
    And request "b" ran 1 times

    Examples: Rejections
      | status | marks |
      | 421    | none  |
      | 421    | 1     |
      | 429    | 1     |
      | 503    | 1     |

  Scenario Outline: A rejection that names two requests is no promise: <ids>
    Given a gateway before an upstream that answers by description and a faithful one
    And "u1" sends 503 marked "1" in the name of "<ids>", in place of its answer, for request "b"
    When a caller sends the transfer requests "b" in sequence
    Then request "b" gets one of "502,504"
    And request "b" ran 1 times

    Examples: Ids
      | ids             |
      | own and another |
      | own twice       |

  Scenario Outline: A failure of the upstream that ran a transfer is not passed on as a promise: <status>
    Given a gateway before an upstream that answers by description and a faithful one
    And "u1" sends <status> marked "none" in the name of "own", in place of its answer, for request "b"
    When a caller sends the transfer requests "b" in sequence
    Then request "b" gets one of "502,504"
    And request "b" gets no digest
    And request "b" ran 1 times

    Examples: Statuses that promise
      | status |
      | 408    |
      | 429    |
      | 503    |

  Scenario Outline: A mark on the success of a transfer does not make it run twice: <marks>
    Given a gateway before an upstream that answers by description and a faithful one
    And "u1" sends 200 marked "<marks>" in the name of "own", in place of its answer, for request "b"
    When a caller sends the transfer requests "b" in sequence
    Then request "b" gets one of "200,502,504"
    And request "b" ran 1 times
    And no promise is broken, nothing runs twice and no answers are mixed up

    Examples: Marks
      | marks |
      | 1     |
      | 0     |
      | empty |

  Scenario Outline: A failure whose mark does not say 1 does not make a transfer run twice: <marks>
    Given a gateway before an upstream that answers by description and a faithful one
    And "u1" sends 503 marked "<marks>" in the name of "own", in place of its answer, for request "b"
    When a caller sends the transfer requests "b" in sequence
    Then request "b" gets one of "502,504"
    And request "b" ran 1 times

    Examples: Marks
      | marks   |
      | 0       |
      | false   |
      | empty   |
      | 1 and 0 |

  Scenario Outline: A <kind> that ran is not refused with a promise because its next upstream rejects it: <status>
    Given a gateway before an upstream that answers by description and a faithful one
    And "u1" sends <status> marked "none" in the name of "own", in place of its answer, for request "b"
    And "u2" sends 503 marked "1" in the name of "own", in place of its answer, for request "b"
    When a caller sends the <kind> requests "b" in sequence
    Then request "b" gets one of "<expected>"
    And request "b" ran 1 times
    And no promise is broken, nothing runs twice and no answers are mixed up

    Examples: Kinds that may run again
      | kind      | status | expected    |
      | look-up   | 503    | 502,504     |
      | look-up   | 429    | 502,504     |
      | look-up   | 408    | 502,504     |
      | look-up   | 500    | 500,502,504 |
      | resumable | 503    | 502,504     |

  Scenario Outline: A <kind> that failed at all its upstreams is not refused with a promise: <status>
    Given a gateway before an upstream that answers by description and a faithful one
    And "u1" sends <status> marked "none" in the name of "own", in place of its answer, for request "b"
    And "u2" sends <status> marked "none" in the name of "own", in place of its answer, for request "b"
    When a caller sends the <kind> requests "b" in sequence
    Then request "b" gets one of "502,504"
    And request "b" gets no digest
    And request "b" ran 2 times

    Examples: Kinds that may run again
      | kind      | status |
      | look-up   | 503    |
      | look-up   | 429    |
      | look-up   | 408    |
      | resumable | 503    |

  Scenario Outline: A transfer that runs after a rejection is not refused with a promise: <status> in the name of <ids>
    Given a gateway before an upstream that answers by description and a faithful one
    And "u1" sends 503 marked "1" in the name of "own", in place of its answer, for request "b"
    And "u2" sends <status> marked "<marks>" in the name of "<ids>", in place of its answer, for request "b"
    When a caller sends the transfer requests "b" in sequence
    Then request "b" gets one of "502,504"
    And request "b" ran 1 times

    Examples: Answers that prove nothing
      | status | marks | ids     |
      | 503    | none  | own     |
      | 503    | 1     | another |
      | 421    | none  | none    |

  Scenario: An idempotent request is served elsewhere after an unmarked 503
    Given a gateway before an upstream that answers by description and a faithful one
    And "u1" sends 503 marked "none" in the name of "own", in place of its answer, for request "b"
    When a caller sends the look-up requests "b" in sequence
    Then request "b" gets the complete answer of "u2" with 200
    And request "b" ran 2 times

  Scenario Outline: A transfer that its upstream rejects in its own name is served elsewhere: <status> marked <marks>
    Given a gateway before an upstream that answers by description and a faithful one
    And "u1" sends <status> marked "<marks>" in the name of "own", <placement>, for request "b"
    When a caller sends the transfer requests "a,b" in sequence
    Then request "b" gets the complete answer of "u2" with 200
    And request "b" ran 1 times
    And no promise is broken, nothing runs twice and no answers are mixed up

    Examples: Rejections
      | status | marks | placement              |
      | 503    | 1     | in place of its answer |
      | 429    | 1     | in place of its answer |
      | 421    | none  | in place of its answer |
      | 421    | 1     | in place of its answer |

  Scenario Outline: A <kind> that all upstreams reject in its own name is refused with the time to come back
    Given a gateway before an upstream that answers by description and a faithful one
    And "u1" sends 503 marked "1" in the name of "own", in place of its answer, for request "b"
    And "u2" sends 429 marked "1" in the name of "own", in place of its answer, for request "b"
    When a caller sends the <kind> requests "b" in sequence
    Then request "b" gets one of "503"
    And request "b" may be sent again within 1000 ms
    And request "b" ran 0 times

    Examples: Kinds
      | kind      |
      | transfer  |
      | stream    |
      | look-up   |
      | resumable |

  Scenario Outline: The own answer of the upstream is passed on with its digest: <status>
    Given a gateway before an upstream that answers by description and a faithful one
    And "u1" sends <status> marked "none" in the name of "own", in place of its answer, for request "b"
    When a caller sends the transfer requests "b" in sequence
    Then request "b" gets the complete answer of "u1" with <status>
    And request "b" ran 1 times
    And no promise is broken, nothing runs twice and no answers are mixed up

    Examples: Statuses
      | status |
      | 200    |
      | 404    |
      | 500    |

  Scenario Outline: An extra answer is not taken for the next one: <status> in the name of <ids>, <placement>
    Given a gateway before an upstream that answers by description and a faithful one
    And "u1" sends <status> marked "1" in the name of "<ids>", <placement>, for request "a"
    When a caller sends the transfer requests "a,b" in sequence
    Then request "a" gets the complete answer of "u1" with 200
    And request "b" gets the complete answer of "u1" with 200
    And no promise is broken, nothing runs twice and no answers are mixed up

    Examples: Extra answers
      | status | ids  | placement               |
      | 503    | own  | right behind its answer |
      | 503    | none | right behind its answer |
      | 200    | own  | right behind its answer |
      | 503    | own  | 5 ms behind its answer  |
      | 503    | none | 5 ms behind its answer  |
      | 200    | own  | 5 ms behind its answer  |

  Scenario Outline: An answer without a digest is neither a success nor a promise: <status> in the name of <ids>, <placement>
    Given a gateway before an upstream that answers by description and a faithful one
    And "u1" sends an unsigned <status> in the name of "<ids>", <placement>, for request "b"
    When a caller sends the transfer requests "a,b" in sequence
    Then request "b" gets one of "<expected>"
    And request "b" ran 1 times
    And no promise is broken, nothing runs twice and no answers are mixed up

    Examples: Answers
      | status | ids     | placement                             | expected    |
      | 200    | own     | in place of its answer                | 502,504     |
      | 500    | own     | in place of its answer                | 500,502,504 |
      | 503    | own     | in place of its answer                | 502,504     |
      | 200    | none    | before its answer to the next request | 502,504     |
      | 200    | another | before its answer to the next request | 502,504     |
      | 503    | none    | before its answer to the next request | 502,504     |

  Scenario Outline: Bytes that are no answer spoil neither the answer before them nor the next one: <placement>
    Given a gateway before an upstream that answers by description and a faithful one
    And "u1" sends bytes that are no answer, <placement>, for request "a"
    When a caller sends the transfer requests "a,b" in sequence
    Then request "a" gets the complete answer of "u1" with 200
    And request "b" gets the complete answer of "u1" with 200
    And no promise is broken, nothing runs twice and no answers are mixed up

    Examples: Placements
      | placement               |
      | right behind its answer |
      | 5 ms behind its answer  |

  Scenario Outline: What an interim answer says is no promise: <interim>
    Given a gateway before an upstream that answers by description and a faithful one
    And "u1" sends an interim <interim> marked "1" and then <status>, for request "b"
    When a caller sends the transfer requests "b" in sequence
    Then request "b" gets one of "<expected>"
    And request "b" ran 1 times
    And no promise is broken, nothing runs twice and no answers are mixed up

    Examples: Interim answers
      | interim | status | expected |
      | 100     | 200    | 200      |
      | 102     | 200    | 200      |
      | 103     | 200    | 200      |
      | 100     | 503    | 502,504  |
      | 102     | 503    | 502,504  |
      | 103     | 503    | 502,504  |

  Scenario: A rejection before the body is read has the transfer served elsewhere, with its whole body
    Given a gateway before an upstream that answers by description and a faithful one
    And "u1" sends 503 marked "1" in the name of "own", before it reads the body, for request "a"
    When a caller sends the transfer requests "a,b" with a body of 4 MiB
    Then request "a" gets the complete answer of "u2" with 200
    And request "b" gets the complete answer of "u1" with 200
    And no promise is broken, nothing runs twice and no answers are mixed up

  Scenario Outline: An answer before the body is read is no promise without a proof: <status> in the name of <ids>
    Given a gateway before an upstream that answers by description and a faithful one
    And "u1" sends <status> marked "<marks>" in the name of "<ids>", before it reads the body, for request "a"
    When a caller sends the transfer requests "a,b" with a body of 4 MiB
    Then request "a" gets one of "502,504"
    And request "a" ran 1 times
    And request "b" gets the complete answer of "u1" with 200
    And no promise is broken, nothing runs twice and no answers are mixed up

    Examples: Answers
      | status | marks | ids     |
      | 503    | none  | own     |
      | 503    | 1     | another |
      | 503    | 1     | none    |
      | 421    | none  | another |

  Scenario Outline: The kind of an answer follows from its head: <status> of <owner>, marked <mark>, <digest>, <encoding>
    When an answer with status <status> of <owner>, marked <mark>, <digest>, <encoding> is classified
    Then it is of kind <kind>

    Examples: Heads
      | status | owner     | mark         | digest   | encoding | kind           |
      | 200    | request   | none         | signed   | plain    | complete       |
      | 200    | request   | none         | signed   | encoded  | mismatched     |
      | 200    | request   | none         | unsigned | plain    | mismatched     |
      | 200    | request   | not_executed | signed   | plain    | complete       |
      | 200    | other     | none         | signed   | plain    | mismatched     |
      | 200    | nobody    | none         | signed   | plain    | mismatched     |
      | 200    | ambiguous | none         | signed   | plain    | mismatched     |
      | 500    | request   | not_executed | unsigned | plain    | failure        |
      | 500    | request   | none         | signed   | encoded  | mismatched     |
      | 503    | request   | not_executed | unsigned | plain    | rejected       |
      | 503    | request   | not_executed | unsigned | encoded  | rejected       |
      | 503    | request   | not_executed | signed   | plain    | unproven       |
      | 503    | request   | unclear      | unsigned | plain    | unproven       |
      | 503    | request   | none         | unsigned | plain    | unproven       |
      | 503    | other     | not_executed | unsigned | plain    | mismatched     |
      | 503    | nobody    | not_executed | unsigned | plain    | mismatched     |
      | 503    | ambiguous | not_executed | unsigned | plain    | mismatched     |
      | 408    | request   | not_executed | unsigned | plain    | unproven       |
      | 429    | request   | not_executed | unsigned | plain    | rejected       |
      | 400    | request   | not_executed | unsigned | plain    | rejected       |
      | 400    | request   | none         | signed   | plain    | failure        |
      | 421    | request   | none         | unsigned | plain    | other_upstream |
      | 421    | request   | not_executed | unsigned | plain    | other_upstream |
      | 421    | request   | unclear      | unsigned | plain    | unproven       |
      | 421    | request   | none         | signed   | plain    | unproven       |
      | 421    | other     | none         | unsigned | plain    | mismatched     |
      | 421    | nobody    | not_executed | unsigned | plain    | mismatched     |

  Scenario: A transfer that its upstream rejects as invalid is served elsewhere
    Given a gateway before an upstream that answers by description and a faithful one
    And "u1" sends 400 marked "1" in the name of "own", in place of its answer, for request "b"
    When a caller sends the transfer requests "b" in sequence
    Then request "b" gets the complete answer of "u2" with 200
    And request "b" ran 1 times
