Feature: The admin address
  Operators read state, metrics and health, and change the configuration at the leader.

  Background:
    Given 3 fake control hosts with the hand-tuned configuration

  Scenario: Health and readiness need no token
    When "GET /healthz" is requested without a token
    Then the admin answer is 200
    When the control host is not ready and "GET /readyz" is requested without a token
    Then the admin answer is 503
    When the control host is ready and "GET /readyz" is requested without a token
    Then the admin answer is 200

  Scenario Outline: Nothing else is answered without the token
    When "<request>" is requested with <token>
    Then the admin answer is 401
    And the admin answer reveals nothing about the deployment

    Examples:
      | request              | token              |
      | GET /state           | no token           |
      | GET /metrics         | a wrong token      |
      | GET /config          | half the token     |
      | GET /config/history  | the token doubled  |
      | GET /status          | another scheme     |
      | GET /requests/k      | an empty token     |
      | POST /config         | no token           |
      | GET /no-such-page    | a token beyond ASCII |

  Scenario: Unknown pages and methods are distinguished
    When "GET /no-such-page" is requested with the token
    Then the admin answer is 404
    When "DELETE /config" is requested with the token
    Then the admin answer is 405 and allows "GET, POST"

  Scenario Outline: The size of the state is limited as requested
    When "GET /state?max_items=<max_items>" is requested with the token
    Then the admin answer is <code>

    Examples:
      | max_items | code |
      | 5         | 200  |
      | 0         | 400  |
      | many      | 400  |
      | 99999999  | 400  |

  Scenario: The state contains no secret
    When "GET /state" is requested with the token
    Then the admin answer is JSON without the token

  Scenario: An invalid change is refused before it is proposed
    When a change with two faults is posted
    Then the admin answer is 422
    And its faults are "[policy] max_queue_ms" and "[upstream engine-1] address"
    And nothing was proposed

  Scenario Outline: A body that is not a valid change is refused
    When the body <body> is posted as a change
    Then the admin answer is 400
    And nothing was proposed

    Examples:
      | body                                                                      |
      | nothing                                                                   |
      | [1]                                                                       |
      | {"change_id": "c", "base_version": 1, "author": "ann"}                    |
      | {"change_id": "", "base_version": 1, "author": "ann", "content": ""}      |
      | {"change_id": "c", "base_version": -1, "author": "ann", "content": ""}    |
      | {"change_id": "c", "base_version": 1, "author": "", "content": ""}        |
      | {"change_id": "c", "base_version": 1, "author": "a", "content": "", "x": 1} |

  Scenario: The later of two conflicting changes gets the accepted version and author
    Given "bea" has changed the configuration to version 2
    When a change of version 1 is posted
    Then the admin answer is 409
    And the change answer reports version 2 by "bea" as current

  Scenario: A host that is not the leader names the leader
    Given the leader is "control-2"
    When "GET /status" is requested with the token
    Then the admin answer is 421
    And the admin answer names the leader "control-2"

  Scenario: Without a leader the answer has a retry time
    Given the leader is ""
    When "GET /status" is requested with the token
    Then the admin answer is 503 with a retry time

  Scenario: A request is looked up by a key with any characters
    Given a claim on record for a key with slashes and spaces
    When that key is looked up
    Then the admin answer shows the holder and outcome of that key

  Scenario: Any request on the admin address gets a complete answer
    When requests with any paths and headers are sent
    Then every admin answer is complete and none is an internal error
