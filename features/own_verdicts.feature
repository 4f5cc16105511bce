Feature: A status of the own interface claims no more than the verdict
  To a caller 408, 421, 429 and 503 say that its request has not run and never will. A
  request that was sent to an upstream must not get one of them without proof.

  Scenario Outline: A request that may have run gets no status that says it has not: <reason>
    Given an entry host whose requests end as may_have_run for <reason>
    When a caller sends a completion
    Then it gets status <status> and the verdict may_have_run

    Examples:
      | reason             | status |
      | preempted          | 502    |
      | holder_lost        | 502    |
      | in_progress        | 502    |
      | no_quorum          | 502    |
      | no_upstream        | 502    |
      | caller_gone        | 502    |
      | overloaded         | 502    |
      | evicted            | 502    |
      | rate_limited       | 502    |
      | leaving            | 502    |
      | upstream_died      | 502    |
      | upstream_error     | 502    |
      | upstream_timeout   | 504    |
      | deadline_exceeded  | 504    |
      | poison             | 422    |

  Scenario Outline: A request that did not run gets a status that says when to retry: <reason>
    Given an entry host whose requests end as not_run for <reason>
    When a caller sends a completion
    Then it gets status <status> and the verdict not_run

    Examples:
      | reason                  | status |
      | no_quorum               | 503    |
      | no_upstream             | 503    |
      | overloaded              | 429    |
      | evicted                 | 429    |
      | rate_limited            | 429    |
      | deadline_exceeded       | 504    |
      | poison                  | 422    |
      | idempotency_key_reused  | 422    |

  Scenario: A request that ran to its end without a kept answer gets 409
    Given an entry host whose requests end as completed for none
    When a caller sends a completion
    Then it gets status 409 and the verdict completed

  Scenario Outline: A refusal with a promise that its verdict does not carry never leaves: <status>, <verdict>
    Given a server that wrongly refuses with <status> and the verdict <verdict>
    When a caller sends a request
    Then the caller gets status 500 and no detail of the cause

    Examples:
      | status | verdict      |
      | 408    | may_have_run |
      | 421    | may_have_run |
      | 429    | may_have_run |
      | 503    | may_have_run |
      | 503    | completed    |

  Scenario Outline: A recorded answer with the status <status> is not delivered to a caller of <manner>
    Given an entry host whose recorded answers have status <status>
    When a caller sends a completion for <manner>
    Then the recorded answer is withheld as may_have_run

    Examples:
      | status | manner            |
      | 408    | a complete answer |
      | 421    | a complete answer |
      | 429    | a complete answer |
      | 503    | a complete answer |
      | 503    | a stream          |

  Scenario Outline: A repeat of a request with a key that <fault> is refused as <verdict>
    Given an entry host that knows the model "m" and an account
    When a caller sends attempt "<attempt>" with <key> that <fault>
    Then it is refused with <status> and the verdict <verdict>

    Examples:
      | fault                        | attempt | key    | status | verdict      |
      | names a model that has left  | 2       | a key  | 404    | may_have_run |
      | is of an account that left   | 2       | a key  | 401    | may_have_run |
      | is not valid JSON            | 2       | a key  | 400    | may_have_run |
      | names a service that left    | 3       | a key  | 404    | may_have_run |
      | names a model that has left  | many    | a key  | 404    | may_have_run |
      | names a model that has left  | 1       | a key  | 404    | not_run      |
      | names a model that has left  |         | a key  | 404    | not_run      |
      | names a model that has left  | 2       | no key | 404    | not_run      |
